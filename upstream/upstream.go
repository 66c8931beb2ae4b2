// Package upstream sends requests to backend servers.
package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/request"
)

// IDHeader carries the id that a backend server echoes in its answer, so that
// an answer that belongs to another request is found out.
const IDHeader = "X-Request-Id"

// Upstream sends requests through net/http's transports.
type Upstream struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration

	reused http.Transport
	fresh  http.Transport
}

// New returns an Upstream that keeps idle connections for idempotent requests
// only. A kept connection can have gone silent, and net/http repeats requests
// on kept connections by itself.
func New(dial time.Duration) *Upstream {
	u := &Upstream{DialTimeout: dial}
	d := net.Dialer{Timeout: dial}
	u.reused.DialContext = d.DialContext
	u.reused.MaxIdleConnsPerHost = 8
	u.reused.IdleConnTimeout = 10 * time.Second
	u.reused.DisableCompression = true
	u.fresh.DialContext = d.DialContext
	u.fresh.DisableKeepAlives = true
	u.fresh.DisableCompression = true
	return u
}

// Send sends r to b. Ran is false only if no byte of the request can have
// reached the backend server.
func (u *Upstream) Send(ctx context.Context, r *request.Request, b backend.Backend) (p *http.Response, ran bool, err error) {
	q, err := http.NewRequestWithContext(ctx, r.Method, "http://"+b.Address+r.Target, nil)
	if err != nil {
		return nil, false, errors.Wrap(err, "upstream request")
	}
	q.Header = r.Header.Clone()
	q.Header.Set(IDHeader, r.ID)
	q.ContentLength = r.Length
	w := &body{reader: r.Body}
	if r.NonIdempotent || r.Body != nil {
		q.Body = w
	}
	t := &u.reused
	if r.NonIdempotent {
		t = &u.fresh
	}
	p, err = t.RoundTrip(q)
	if err != nil {
		return nil, !refused(err), errors.Wrap(err, "upstream")
	}
	if v := p.Header.Get(IDHeader); v != "" && v != r.ID {
		p.Body.Close()
		return nil, true, errors.New("the answer belongs to another request")
	}
	return p, true, nil
}

// Close ends all idle connections.
func (u *Upstream) Close() {
	u.reused.CloseIdleConnections()
	u.fresh.CloseIdleConnections()
}

// refused reports whether the connection was never opened.
func refused(err error) bool {
	var o *net.OpError
	return errors.As(err, &o) && o.Op == "dial"
}

// body hides the type of the caller's body from net/http, which repeats a
// request by itself when it sees no body or one that it can read again.
type body struct {
	reader io.Reader
	read   atomic.Int64
}

// Read counts what the transport takes of the body.
func (b *body) Read(p []byte) (int, error) {
	if b.reader == nil {
		return 0, io.EOF
	}
	n, err := b.reader.Read(p)
	b.read.Add(int64(n))
	return n, err
}

// Close leaves the caller's body to net/http's server, which owns it.
func (b *body) Close() error {
	return nil
}
