package upstream_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
	"github.com/tailscale/hujson"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/upstream"
)

const (
	answerBytes = 3000
	// uploadBytes are longer than what the buffers of a connection hold, and readBytes of them are
	// read before the response.
	uploadBytes = 8 << 20
	readBytes   = 60_000
	resetTries  = 40
	// resetDelay lets the response arrive before the reset.
	resetDelay = 20 * time.Millisecond
)

// serveConn serves each connection with f, which closes it.
func serveConn(t *testing.T, f func(c *net.TCPConn)) backend.Backend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f(c.(*net.TCPConn)) // ends with the connection
		}
	}()
	return backend.Backend{Name: "b", Address: l.Addr().String()}
}

// isTaken reports whether a POST gets a response that is read to a clean end.
func isTaken(t *testing.T, b backend.Backend, body string) bool {
	u := upstream.New(clockwork.NewRealClock(), time.Second)
	defer u.Close()
	p, ran, err := u.Send(t.Context(), newPost(body), b, true)
	if err != nil {
		must.True(t, ran, must.Sprint("the request was sent"))
		return false
	}
	defer p.Body.Close()
	_, err = io.Copy(io.Discard, p.Body)
	return err == nil
}

// Guards against a response without a length that is cut by a reset, which a running upload has
// noticed first, and looks whole.
func TestResetResponseIsNotWhole(t *testing.T) {
	for _, h := range []string{"", "Connection: close\r\n"} {
		b := serveConn(t, func(c *net.TCPConn) {
			defer func() { _ = c.Close() }() // the end that the test is about
			r := bufio.NewReader(c)
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.CopyN(io.Discard, q.Body, readBytes) // what follows tells
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+h+"\r\n"+strings.Repeat("a", answerBytes))
			clockwork.NewRealClock().Sleep(resetDelay)
			_ = c.SetLinger(0) // the end is a reset
		})
		n := 0
		for range resetTries {
			if isTaken(t, b, strings.Repeat("b", uploadBytes)) {
				n++
			}
		}
		must.Zero(t, n, must.Sprintf("of %d responses that were reset", resetTries))
	}
}

// Guards against responses whose status or header fields HTTP does not allow, and whose body may be
// another one than it seems.
func TestOddHeadsAreNoResponses(t *testing.T) {
	v, err := os.ReadFile("testdata/heads.hujson")
	must.NoError(t, err)
	v, err = hujson.Standardize(v)
	must.NoError(t, err)
	var l []struct {
		Head  string
		Taken bool
	}
	must.NoError(t, json.Unmarshal(v, &l))
	for _, h := range l {
		b := serveConn(t, func(c *net.TCPConn) {
			defer func() { _ = c.Close() }() // the end that the test is about
			q, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, q.Body) // what follows tells
			_, _ = io.WriteString(c, h.Head+"\r\n"+strings.Repeat("a", answerBytes))
		})
		must.EqOp(t, h.Taken, isTaken(t, b, "body"), must.Sprintf("%q", h.Head))
	}
}
