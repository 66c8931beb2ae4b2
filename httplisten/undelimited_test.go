package httplisten_test

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/httplisten"
	"celeryreach.example/celeryreach/testca"
)

// Guards against a response without a length that breaks off, or is cut by the shutdown, and that
// a caller with HTTP/1.0 takes for whole, since it ends with its connection.
func TestCutResponseToHTTP10(t *testing.T) {
	a, err := testca.New()
	must.NoError(t, err)
	f, err := a.Write(t.TempDir())
	must.NoError(t, err)
	k, err := tls.LoadX509KeyPair(f.File, f.KeyFile)
	must.NoError(t, err)
	for _, overTLS := range []bool{false, true} {
		for _, end := range []string{"returns", "aborts", "shutdown"} {
			l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			must.NoError(t, err)
			x, stop := context.WithCancel(t.Context())
			read := make(chan struct{})
			s := &httplisten.Httplisten{Listener: l, Clock: clock, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				_, _ = io.WriteString(w, body)
				must.NoError(t, http.NewResponseController(w).Flush())
				<-read
				switch end {
				case "aborts":
					panic(http.ErrAbortHandler)
				case "shutdown":
					stop()
					<-q.Context().Done()
				}
			})}
			if overTLS {
				s.TLS = &tls.Config{Certificates: []tls.Certificate{k}, MinVersion: tls.VersionTLS12}
			}
			ended := make(chan error, 1)
			go func() { ended <- s.Run(x) }()
			c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", l.Addr().String())
			must.NoError(t, err)
			if overTLS {
				c = tls.Client(c, &tls.Config{RootCAs: a.Pool(), ServerName: "127.0.0.1", MinVersion: tls.VersionTLS12})
			}
			_, err = io.WriteString(c, "GET / HTTP/1.0\r\n\r\n")
			must.NoError(t, err)
			_, err = c.Read(make([]byte, 1))
			must.NoError(t, err)
			close(read)
			_, err = io.ReadAll(c)
			must.EqOp(t, end == "returns", err == nil, must.Sprint(end, overTLS, err))
			_ = c.Close()
			stop()
			<-ended //nolint:errcheck // a shutdown that cuts a request returns an error
		}
	}
}
