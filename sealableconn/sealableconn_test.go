package sealableconn_test

import (
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/sealableconn"
)

// scriptedConn ends for its reader, and fails its writer when it is told to.
type scriptedConn struct {
	net.Conn
	writing chan struct{}
	fail    chan error
}

func (c *scriptedConn) Read([]byte) (int, error) { return 0, io.EOF }
func (c *scriptedConn) Close() error             { return nil }

func (c *scriptedConn) Write([]byte) (int, error) {
	close(c.writing)
	return 0, <-c.fail
}

// Guards against a reset whose write has the result only after the read has seen the end.
func TestReadAwaitsRunningWrite(t *testing.T) {
	for _, v := range []struct {
		name   string
		write  error
		closed bool
		want   error
	}{
		{"reset", syscall.ECONNRESET, false, sealableconn.ErrReset},
		{"written", nil, false, io.EOF},
		{"closed by this end", net.ErrClosed, true, io.EOF},
	} {
		t.Run(v.name, func(t *testing.T) {
			c := &scriptedConn{writing: make(chan struct{}), fail: make(chan error, 1)}
			k := clockwork.NewFakeClock()
			s := &sealableconn.Sealableconn{Conn: c, Clock: k}
			w, r := make(chan error, 1), make(chan error, 1)
			go func() { _, err := s.Write([]byte("b")); w <- err }()
			<-c.writing
			go func() { _, err := s.Read(make([]byte, 1)); r <- err }()
			must.NoError(t, k.BlockUntilContext(t.Context(), 1)) // Read waits
			if v.closed {
				must.NoError(t, s.Close())
			}
			c.fail <- v.write
			must.EqOp(t, v.want, <-r)
			must.EqOp(t, v.write, <-w)
		})
	}
}

// lingerConn records how it is closed.
type lingerConn struct {
	net.Conn
	linger int
}

func (c *lingerConn) Write(b []byte) (int, error) { return len(b), nil }
func (c *lingerConn) Read(b []byte) (int, error)  { return len(b), nil }
func (c *lingerConn) Close() error                { return nil }

func (c *lingerConn) SetLinger(s int) error {
	c.linger = s
	return nil
}

// Guards against a request that arrives long after it was given up, and against a reset of a
// connection whose requests have their responses.
func TestCloseDropsRequestWithoutResponse(t *testing.T) {
	for _, answered := range []bool{false, true} {
		c := &lingerConn{linger: -1}
		s := &sealableconn.Sealableconn{Conn: c}
		for i := range 2 {
			s.StartRequest()
			_, err := s.Write([]byte("b"))
			must.NoError(t, err)
			if i == 0 || answered {
				_, err = s.Read(make([]byte, 1))
				must.NoError(t, err)
			}
		}
		must.NoError(t, s.Close())
		must.EqOp(t, answered, c.linger == -1)
	}
}
