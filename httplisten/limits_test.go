package httplisten_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/httplisten"
)

// fixture is one server and a caller's connection to it.
type fixture struct {
	clock   *clockwork.FakeClock
	handler atomic.Pointer[http.HandlerFunc]
	header  atomic.Int64
	idle    atomic.Int64
	conn    net.Conn
	answer  *bufio.Reader
}

func start(t *testing.T) *fixture {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	return startOn(t, l, clockwork.NewFakeClockAt(past))
}

// past is a time at which network deadlines have passed, so that the server does not wait
// for bytes when a limit of the fake clock passes.
var past = time.Unix(1e9, 0)

func startOn(t *testing.T, l net.Listener, c *clockwork.FakeClock) *fixture {
	w := &fixture{clock: c}
	w.header.Store(int64(3 * time.Second))
	w.idle.Store(int64(15 * time.Second))
	s := &httplisten.Httplisten{
		Listener: l, Handler: http.HandlerFunc(w.serve), Clock: w.clock,
		Limits: func() (header, idle time.Duration) {
			return time.Duration(w.header.Load()), time.Duration(w.idle.Load())
		},
		DrainTimeout: time.Second,
	}
	x, f := context.WithCancel(context.Background())
	e := make(chan error, 1)
	go func() { e <- s.Run(x) }()
	var err error
	w.conn, err = (&net.Dialer{}).DialContext(t.Context(), "tcp", l.Addr().String())
	must.NoError(t, err)
	w.answer = bufio.NewReader(w.conn)
	t.Cleanup(func() {
		_ = w.conn.Close()
		f()
		must.NoError(t, <-e)
	})
	return w
}

func (w *fixture) serve(a http.ResponseWriter, q *http.Request) {
	if h := w.handler.Load(); h != nil {
		(*h)(a, q)
	}
}

// call sends a request, reads its response, and returns when the server waits for the
// next request.
func (w *fixture) call(t *testing.T) {
	_, err := io.WriteString(w.conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	must.NoError(t, err)
	p, err := http.ReadResponse(w.answer, nil)
	must.NoError(t, err)
	must.NoError(t, p.Body.Close())
	w.waitForTimer(t)
}

func (w *fixture) waitForTimer(t *testing.T) {
	must.NoError(t, w.clock.BlockUntilContext(t.Context(), 1))
}

func (w *fixture) mustBeClosed(t *testing.T) {
	_, err := w.answer.ReadByte()
	must.Error(t, err)
}

// A connection without requests for the configured idle time is closed. A caller that
// sends its next request sooner is served on the same connection.
func TestIdleConnectionsAreClosed(t *testing.T) {
	w := start(t)
	w.call(t)
	w.clock.Advance(14 * time.Second)
	w.call(t)
	w.clock.Advance(15 * time.Second)
	w.mustBeClosed(t)
}

// A longer idle limit set by an operator also applies to connections that are already
// open, from their next request on.
func TestNewLimitAppliesToOpenConnections(t *testing.T) {
	w := start(t)
	w.call(t)
	w.idle.Store(int64(time.Minute))
	w.call(t)
	w.clock.Advance(30 * time.Second)
	w.call(t)
	w.clock.Advance(time.Minute)
	w.mustBeClosed(t)
}

// A connection on which the caller never completes a header is closed, so that such
// callers cannot use up all file descriptors.
func TestSlowHeaderIsClosed(t *testing.T) {
	w := start(t)
	_, err := io.WriteString(w.conn, "GET / HTTP/1.1\r\n")
	must.NoError(t, err)
	w.waitForTimer(t)
	w.clock.Advance(3 * time.Second)
	w.mustBeClosed(t)
}

// A longer idle limit set by an operator also applies to a connection that is already
// waiting for its next request: its caller goes by the new limit.
func TestLongerLimitAppliesToIdleConnections(t *testing.T) {
	w := start(t)
	w.call(t)
	w.idle.Store(int64(time.Minute))
	w.clock.Advance(15 * time.Second)
	w.waitForTimer(t)
	w.call(t)
	w.clock.Advance(time.Minute)
	w.mustBeClosed(t)
}

// stalledConn is the server's end of a connection. The Read of the second request begins
// only after a deadline has passed, as on a host that gets no processor time.
type stalledConn struct {
	*net.TCPConn
	requests int
	stalled  chan struct{} // closed when the Read of the second request waits
	passed   chan struct{} // closed when its deadline has passed
	once     sync.Once
}

func (c *stalledConn) Read(b []byte) (int, error) {
	if len(b) > 1 { // net/http reads a single byte while it serves a request
		c.requests++
	}
	if c.requests == 2 && len(b) > 1 {
		close(c.stalled)
		<-c.passed
	}
	return c.TCPConn.Read(b)
}

func (c *stalledConn) SetReadDeadline(d time.Time) error {
	err := c.TCPConn.SetReadDeadline(d)
	select {
	case <-c.stalled:
		c.once.Do(func() { close(c.passed) })
	default:
	}
	return err
}

// stalledListener accepts stalledConns.
type stalledListener struct {
	net.Listener
	conns chan *stalledConn
}

func (l *stalledListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s := &stalledConn{TCPConn: c.(*net.TCPConn), stalled: make(chan struct{}), passed: make(chan struct{})}
	l.conns <- s
	return s, nil
}

// Guards against a host that closes a connection whose next request has arrived, since
// it reads it only after the idle limit has passed.
func TestArrivedRequestIsServedAfterIdleLimit(t *testing.T) {
	n, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	l := &stalledListener{Listener: n, conns: make(chan *stalledConn, 1)}
	w := startOn(t, l, clockwork.NewFakeClock())
	s := <-l.conns
	w.call(t)
	<-s.stalled
	_, err = io.WriteString(w.conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	must.NoError(t, err)
	w.clock.Advance(15 * time.Second)
	p, err := http.ReadResponse(w.answer, nil)
	must.NoError(t, err)
	must.NoError(t, p.Body.Close())
}
