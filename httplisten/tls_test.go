package httplisten_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/httplisten"
	"celeryreach.example/celeryreach/testca"
)

// startTLS starts a server with TLS and returns its address, the configuration of a
// caller, and a function that ends its context.
func startTLS(t *testing.T, drain time.Duration, h http.HandlerFunc) (address string, caller *tls.Config, stop func()) {
	a, err := testca.New()
	must.NoError(t, err)
	f, err := a.Write(t.TempDir())
	must.NoError(t, err)
	c, err := tls.LoadX509KeyPair(f.File, f.KeyFile)
	must.NoError(t, err)
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := &httplisten.Httplisten{
		Listener: l, TLS: &tls.Config{Certificates: []tls.Certificate{c}, MinVersion: tls.VersionTLS12}, Handler: h,
		Clock: clock, DrainTimeout: drain,
	}
	x, e := context.WithCancel(context.Background())
	d := make(chan error, 1)
	go func() { d <- s.Run(x) }()
	t.Cleanup(func() {
		e()
		must.NoError(t, <-d)
	})
	return l.Addr().String(), &tls.Config{RootCAs: a.Pool(), ServerName: "127.0.0.1", MinVersion: tls.VersionTLS12}, e
}

// Guards against a shutdown that closes a connection whose next request has been decrypted
// while the one before was still served.
func TestRequestOverTLSReadAtShutdown(t *testing.T) {
	sent, end := make(chan struct{}), make(chan struct{})
	var once sync.Once
	address, caller, stop := startTLS(t, time.Minute, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "4")
		_, _ = io.WriteString(w, body)
		once.Do(func() {
			must.NoError(t, http.NewResponseController(w).Flush())
			close(sent)
			<-end
		})
	})
	n, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	must.NoError(t, err)
	c := tls.Client(n, caller)
	t.Cleanup(func() { _ = c.Close() })
	b := bufio.NewReader(c)
	for i := range 2 {
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		must.NoError(t, err)
		if i == 1 {
			stop()
			close(end)
		}
		p, err := http.ReadResponse(b, nil)
		must.NoError(t, err)
		_, err = io.ReadAll(p.Body)
		must.NoError(t, err)
		must.NoError(t, p.Body.Close())
		<-sent
	}
}

// Guards against a caller that does not learn that the address needs TLS.
func TestPlainRequestToTLSIsAnswered(t *testing.T) {
	address, _, _ := startTLS(t, time.Minute, func(http.ResponseWriter, *http.Request) {})
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	must.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	must.NoError(t, err)
	p, err := http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(t, err)
	must.NoError(t, p.Body.Close())
	must.EqOp(t, http.StatusBadRequest, p.StatusCode)
}

// Guards against a shutdown that counts a connection on which only a handshake came as a
// request that it cut.
func TestHandshakeIsNoRequest(t *testing.T) {
	address, caller, stop := startTLS(t, 0, func(http.ResponseWriter, *http.Request) {})
	c, err := (&tls.Dialer{Config: caller}).DialContext(t.Context(), "tcp", address)
	must.NoError(t, err)
	defer c.Close()
	stop()
}
