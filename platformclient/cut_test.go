package platformclient_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/platformclient"
	"celeryreach.example/celeryreach/store"
)

// servePrefix answers each request with the same bytes and closes the connection.
func servePrefix(t *testing.T, p string) (address string) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			if q, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, q.Body) // the client sees an error in any case
				_, _ = io.WriteString(c, p)
			}
			_ = c.Close() // as above
		}
	}()
	return l.Addr().String()
}

// cutCalls are calls to the platform whose response is cut.
var cutCalls = map[string]func(ctx context.Context, s store.Store) error{
	"read": func(ctx context.Context, s store.Store) error {
		_, err := s.Read(ctx, "a")
		return err
	},
	"get": func(ctx context.Context, s store.Store) error {
		_, err := s.GetObject(ctx, "a")
		return err
	},
	"put": func(ctx context.Context, s store.Store) error {
		return s.PutObject(ctx, "a", []byte("content"))
	},
}

// Guards against a response of the platform that breaks off at any byte, also in its header, and
// that counts as whole.
func TestCutResponses(t *testing.T) {
	const b = `{"Key":"a"}`
	for _, s := range []string{
		fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(b), b),
		fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(b), b),
	} {
		for n := range len(s) + 1 {
			a := servePrefix(t, s[:n])
			for name, call := range cutCalls {
				p := &platformclient.Platformclient{URL: "http://" + a, Timeout: 10 * time.Second} // without the connection that the server has closed
				err := call(t.Context(), p.Store())
				must.EqOp(t, n == len(s), err == nil, must.Sprintf("%s %q: %v", name, s[:n], err))
				p.Close()
			}
		}
	}
}
