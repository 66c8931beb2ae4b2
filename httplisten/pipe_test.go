package httplisten_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/httplisten"
)

const (
	headerLimit = 10 * time.Second
	idleLimit   = 15 * time.Second
	drainLimit  = time.Minute
	margin      = time.Millisecond
)

// clock is the real clock, which returns virtual time inside a synctest bubble.
var clock = clockwork.NewRealClock()

// pipeListener connects callers and a server in memory, because virtual time does not
// advance while a goroutine waits on a socket.
type pipeListener struct {
	conns  chan net.Conn
	errs   chan error // each fails an Accept
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), errs: make(chan error), closed: make(chan struct{})}
}

// dial opens a connection whose server's end is wrapped by f.
func (l *pipeListener) dial(f func(net.Conn) net.Conn) (net.Conn, error) {
	a, b := net.Pipe()
	select {
	case l.conns <- f(b):
		c := &bufferedConn{Conn: a, received: make(chan []byte, 64)}
		go c.receive()
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case err := <-l.errs:
		return nil, err
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return nil }

// bufferedConn is the caller's end of a pipe. It receives while its caller writes, so
// that a server can send an error before it has read a request.
type bufferedConn struct {
	net.Conn
	received chan []byte
	rest     []byte
	err      error
}

func (c *bufferedConn) receive() {
	for {
		b := make([]byte, 4096)
		n, err := c.Conn.Read(b)
		if n > 0 {
			c.received <- b[:n]
		}
		if err != nil {
			c.err = err
			close(c.received)
			return
		}
	}
}

func (c *bufferedConn) Read(b []byte) (int, error) {
	if len(c.rest) == 0 {
		r, ok := <-c.received
		if !ok {
			return 0, c.err
		}
		c.rest = r
	}
	n := copy(b, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// lateConn calls afterRead, if set, between the arrival of bytes and the return of
// Read, and afterTimeout, if set, when a second Read has run into its deadline.
type lateConn struct {
	net.Conn
	afterRead    func()
	afterTimeout func()
	timeouts     int
}

func (c *lateConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if f := c.afterRead; f != nil && n > 0 {
		c.afterRead = nil
		f()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.timeouts++
		if c.timeouts == 2 && c.afterTimeout != nil {
			c.afterTimeout()
		}
	}
	return n, err
}

// piped is a server in virtual time and a caller's connection to it.
type piped struct {
	listener *pipeListener
	handler  http.HandlerFunc
	stop     context.CancelFunc
	done     chan error // receives the result of Run
	late     int        // headers that were not complete in time
	server   *lateConn
	conn     net.Conn
	answer   *bufio.Reader
}

// inBubble runs f in virtual time.
func inBubble(t *testing.T, f func(t *testing.T, w *piped)) {
	// The race detector crashes when timers of a bubble fire on several processors.
	c := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(c) })
	synctest.Test(t, func(t *testing.T) { f(t, startPiped(t)) })
}

func startPiped(t *testing.T) *piped {
	l := newPipeListener()
	w := &piped{listener: l, handler: echo, done: make(chan error, 1)}
	s := &httplisten.Httplisten{
		Listener: l, Clock: clock, DrainTimeout: drainLimit,
		Handler:      http.HandlerFunc(func(a http.ResponseWriter, q *http.Request) { w.handler(a, q) }),
		Limits:       func() (header, idle time.Duration) { return headerLimit, idleLimit },
		OnUnanswered: func(string) { w.late++ },
	}
	x, f := context.WithCancel(context.Background())
	go func() {
		w.done <- s.Run(x)
		close(w.done)
	}()
	w.stop = f
	c, err := l.dial(func(c net.Conn) net.Conn {
		w.server = &lateConn{Conn: c}
		return w.server
	})
	must.NoError(t, err)
	w.conn, w.answer = c, bufio.NewReader(c)
	t.Cleanup(func() {
		_ = c.Close()
		f()
		must.NoError(t, <-w.done)
		clock.Sleep(drainLimit) // a Read may still be in afterRead, and a bubble waits for no goroutine
	})
	return w
}

func echo(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = w.Write(b) // the caller judges what it gets
}

// send writes one request in pieces. The server's Read of pieces[late] returns only
// after f.
func (w *piped) send(t *testing.T, late int, f func(), pieces ...string) {
	for i, p := range pieces {
		synctest.Wait()
		if i == late {
			w.server.afterRead = f
		}
		_, err := io.WriteString(w.conn, p)
		must.NoError(t, err)
	}
}

func (w *piped) mustBeAnswered(t *testing.T) {
	p, err := http.ReadResponse(w.answer, nil)
	must.NoError(t, err, must.Sprint("the server has read the request whole and closed the connection"))
	b, err := io.ReadAll(p.Body)
	must.NoError(t, err)
	must.NoError(t, p.Body.Close())
	must.Eq(t, http.StatusOK, p.StatusCode)
	must.Eq(t, "body", string(b))
}

func (w *piped) call(t *testing.T) {
	w.send(t, 0, nil, whole()...)
	w.mustBeAnswered(t)
}

const (
	header = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"
	body   = "body"
)

// whole, splitHeader and bodyAfter return the pieces of one request.
func whole() []string { return []string{header + body} }

func splitHeader() []string {
	i := strings.Index(header, "Host")
	return []string{header[:i], header[i:] + body}
}

func bodyAfter() []string { return []string{header, body} }
