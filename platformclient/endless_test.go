package platformclient_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/platformclient"
	"celeryreach.example/celeryreach/store"
)

const (
	// maxTaken is how much of an answer without end may be taken: the limit of an answer, and what
	// the kernel holds of a connection.
	maxTaken = 24 << 20
	// maxSent is how much is sent of it at most.
	maxSent = 128 << 20
)

// serveEndless answers each request with bytes without end, and reports how many were taken before
// the connection was closed.
func serveEndless(t *testing.T, begin, again string) (address string, taken <-chan int) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	d := make(chan int, 1)
	go func() {
		s := strings.Repeat(again, 64<<10/len(again))
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			if q, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, q.Body) // the answer does not depend on it
			}
			n, err := io.WriteString(c, begin)
			for err == nil && n < maxSent {
				var m int
				m, err = io.WriteString(c, s)
				n += m
			}
			_ = c.Close() // may have been closed by the client
			d <- n
		}
	}()
	return l.Addr().String(), d
}

// Guards against an answer of the platform without end that fills the memory of a host.
func TestAnswersWithoutEnd(t *testing.T) {
	for _, v := range []struct{ name, begin, again string }{
		{"no response", "", "no response in the protocol "},
		{"status line", "HTTP/1.1 200 ", "OK "},
		{"field", "HTTP/1.1 200 OK\r\nName: ", "value "},
		{"fields", "HTTP/1.1 200 OK\r\n", "Name: value\r\n"},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
		{"body without a length", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", `{"Key":"a"}`},
		{"long body", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", `{"Key":"a"}`},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "b\r\n{\"Key\":\"a\"}\r\n"},
		{"failure", "HTTP/1.1 500 Internal Server Error\r\nConnection: close\r\n\r\n", "failure "},
	} {
		t.Run(v.name, func(t *testing.T) {
			for name, call := range map[string]func(ctx context.Context, s store.Store) error{"read": cutCalls["read"], "put": cutCalls["put"]} {
				a, n := serveEndless(t, v.begin, v.again)
				p := &platformclient.Platformclient{URL: "http://" + a, Timeout: 10 * time.Second}
				must.Error(t, call(t.Context(), p.Store()))
				p.Close()
				must.LessEq(t, maxTaken, <-n, must.Sprint(name))
			}
		})
	}
}
