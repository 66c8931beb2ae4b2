package httplisten_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/httplisten"
)

// startLimited starts a server with a largest number of connections, which answers all requests
// without reading their bodies.
func startLimited(t *testing.T, limit int, k clockwork.Clock) (address string) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := &httplisten.Httplisten{
		Listener: l, Clock: k, MaxConnections: limit, DrainTimeout: time.Second,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }),
	}
	x, f := context.WithCancel(context.Background())
	e := make(chan error, 1)
	go func() { e <- s.Run(x) }()
	t.Cleanup(func() {
		f()
		must.NoError(t, <-e)
	})
	return l.Addr().String()
}

// dialAndSend opens a connection and sends on it.
func dialAndSend(t *testing.T, address, s string) net.Conn {
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() }) // the server may have closed it
	_, err = io.WriteString(c, s)
	must.NoError(t, err)
	return c
}

func mustAnswer(t *testing.T, c net.Conn) {
	p, err := http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(t, err)
	must.NoError(t, p.Body.Close())
}

// Guards against callers that find no place beside connections without requests.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	k := clockwork.NewFakeClockAt(past)
	a := startLimited(t, 8, k)
	idle := dialAndSend(t, a, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	mustAnswer(t, idle)
	for range 6 {
		dialAndSend(t, a, "")
	}
	must.NoError(t, k.BlockUntilContext(t.Context(), 7))
	mustAnswer(t, dialAndSend(t, a, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	_, err := idle.Read(make([]byte, 1))
	must.EqOp(t, io.EOF, err) // the one that had been served went first
}

// Guards against answers that wait for the rest of a body that nobody reads.
func TestAnswerBesideBodyThatStops(t *testing.T) {
	a := startLimited(t, 8, clockwork.NewRealClock())
	c := dialAndSend(t, a, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\nb")
	mustAnswer(t, c)
	_, err := io.ReadAll(c)
	must.NoError(t, err) // the connection ends, since the rest is no request
}
