package platformclient_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/platformclient"
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

// Guards against a response of the platform that breaks off at any byte, also in its header, and
// that counts as whole.
func TestCutResponses(t *testing.T) {
	const b = `{"Key":"a"}`
	for _, s := range []string{
		fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(b), b),
		fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(b), b),
	} {
		for n := range len(s) + 1 {
			p := &platformclient.Platformclient{URL: "http://" + servePrefix(t, s[:n]), Timeout: 10 * time.Second}
			f := p.Store()
			_, err := f.Read(t.Context(), "a")
			must.EqOp(t, n == len(s), err == nil, must.Sprintf("%q: %v", s[:n], err))
			_, err = f.GetObject(t.Context(), "a")
			must.EqOp(t, n == len(s), err == nil, must.Sprintf("%q: %v", s[:n], err))
			err = f.PutObject(t.Context(), "a", []byte("content"))
			must.EqOp(t, n == len(s), err == nil, must.Sprintf("%q: %v", s[:n], err))
			p.Close()
		}
	}
}
