// Package upstream sends requests to backend servers.
package upstream

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/sealconn"
	"celeryreach.example/celeryreach/whole"
)

// Header fields that backend servers see.
const (
	// IDHeader carries the id that a backend server echoes in its answer, so
	// that an answer that belongs to another request is found out.
	IDHeader = "X-Request-Id"
	// TimeoutHeader carries the time that is left, "1.5s" for example.
	TimeoutHeader = "Request-Timeout"
)

const (
	headerBytes = 64 << 10
	// A connection that stops answering probes is closed after 5 s, also
	// while a request waits on it: the answer of a peer that lost track of the
	// connection would never come.
	probeIdle     = 2 * time.Second
	probeInterval = time.Second
	probeCount    = 3
)

// ErrNotRun is the backend server's own word that it did not run the request.
var ErrNotRun = errors.New("the backend server refused the request unrun")

// ErrElsewhere says that the address belongs to another backend server now,
// which did not run the request.
var ErrElsewhere = errors.New("another backend server has the address")

// Upstream sends requests through net/http's transports.
type Upstream struct {
	// Clock measures what is left of deadlines.
	Clock clockwork.Clock
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// Dress puts on a request what a backend server is told beside what the
	// caller sent; left is the time until the deadline. Nil means IDHeader
	// and TimeoutHeader.
	Dress func(h http.Header, r *request.Request, b backend.Backend, left time.Duration)
	// Verdict judges an answer: ErrNotRun, or why it cannot be passed on. Nil
	// means this package's own rules.
	Verdict func(p *http.Response, r *request.Request, b backend.Backend) (ran bool, err error)
	// Keep sends non-idempotent requests on kept connections too.
	Keep bool
	// Dial opens a connection to a backend server; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Heard is told the header of each answer that is proven to be from b, and when
	// its request went out. Served is false if b refused the request unrun or failed.
	// Nil means that nobody is told.
	Heard func(b backend.Backend, sent time.Time, h http.Header, served bool)
	// Repeated is told that net/http sends a request to b once more by itself, on
	// another connection. Nil means that nobody is told.
	Repeated func(b backend.Backend)

	reused http.Transport
	fresh  http.Transport

	mu     sync.Mutex
	echoes map[string]bool
}

// New returns an Upstream that keeps idle connections for idempotent requests
// only. A kept connection can have gone silent, and net/http repeats requests
// on kept connections by itself.
func New(c clockwork.Clock, dial time.Duration) *Upstream {
	u := &Upstream{Clock: c, DialTimeout: dial, echoes: make(map[string]bool)}
	u.reused.DialContext = u.dial
	u.reused.MaxIdleConnsPerHost = 8
	u.reused.IdleConnTimeout = 10 * time.Second
	u.reused.DisableCompression = true
	u.reused.MaxResponseHeaderBytes = headerBytes
	u.fresh.DialContext = u.dial
	u.fresh.DisableKeepAlives = true
	u.fresh.DisableCompression = true
	u.fresh.MaxResponseHeaderBytes = headerBytes
	return u
}

// Send sends r to b, on a new connection if fresh is set or if r is not
// idempotent. Ran is false only if it is proven that b did not run r: no byte
// was written and none can be any more, or b itself says so.
func (u *Upstream) Send(ctx context.Context, r *request.Request, b backend.Backend, fresh bool) (p *http.Response, ran bool, err error) {
	c := &connections{again: func() {
		if u.Repeated != nil {
			u.Repeated(b)
		}
	}}
	x := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: c.got})
	y := &body{reader: r.Body, touched: r.Touched}
	q, err := u.request(x, r, b, y)
	if err != nil {
		return nil, false, err
	}
	t := &u.reused
	if fresh || r.NonIdempotent && !u.Keep {
		t = &u.fresh
	}
	s := u.Clock.Now()
	p, err = t.RoundTrip(q)
	if err != nil {
		y.seal()
		return nil, c.wrote(), errors.Wrap(err, "upstream")
	}
	ran, err = u.judge(p, r, b)
	u.heard(b, s, p, err)
	if err != nil {
		p.Body.Close()
		return nil, ran, err
	}
	return p, true, nil
}

// heard tells the header of an answer that is proven to be from b.
func (u *Upstream) heard(b backend.Backend, sent time.Time, p *http.Response, err error) {
	if u.Heard != nil && (err == nil || errors.Is(err, ErrNotRun)) {
		u.Heard(b, sent, p.Header, err == nil && p.StatusCode < http.StatusInternalServerError)
	}
}

// Close ends all idle connections.
func (u *Upstream) Close() {
	u.reused.CloseIdleConnections()
	u.fresh.CloseIdleConnections()
}

func (u *Upstream) request(ctx context.Context, r *request.Request, b backend.Backend, y *body) (*http.Request, error) {
	q, err := http.NewRequestWithContext(ctx, r.Method, "http://"+b.Address+r.Target, nil)
	if err != nil {
		return nil, errors.Wrap(err, "upstream request")
	}
	q.Header = r.Header.Clone()
	if r.Host != "" {
		q.Host = r.Host
	}
	d := r.Deadline.Sub(u.Clock.Now())
	if u.Dress != nil {
		u.Dress(q.Header, r, b, d)
	} else {
		q.Header.Set(IDHeader, r.ID)
		q.Header.Set(TimeoutHeader, d.String())
	}
	q.ContentLength = r.Length
	if r.NonIdempotent || r.Body != nil {
		q.Body = y
	}
	return q, nil
}

func (u *Upstream) judge(p *http.Response, r *request.Request, b backend.Backend) (ran bool, err error) {
	if u.Verdict != nil {
		return u.Verdict(p, r, b)
	}
	return u.check(p, r, b)
}

// check makes sure that an answer belongs to its request. A backend server
// that has echoed ids before must go on doing so; one that never did is
// trusted, since some cannot.
func (u *Upstream) check(p *http.Response, r *request.Request, b backend.Backend) (ran bool, err error) {
	v := p.Header.Get(IDHeader)
	u.mu.Lock()
	e := u.echoes[b.Address]
	u.echoes[b.Address] = e || v == r.ID
	u.mu.Unlock()
	switch {
	case v != "" && v != r.ID, v == "" && e:
		return true, errors.New("the answer belongs to another request")
	case p.StatusCode == http.StatusSwitchingProtocols:
		return true, errors.New("the backend server changed the protocol")
	case p.StatusCode == http.StatusServiceUnavailable && p.Header.Get(whole.NotRunHeader) != "":
		return false, ErrNotRun
	default:
		return true, nil
	}
}

func (u *Upstream) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if u.Dial != nil {
		c, err := u.Dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return &sealconn.Sealconn{Conn: c}, nil
	}
	d := net.Dialer{Timeout: u.DialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
	}}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &sealconn.Sealconn{Conn: c}, nil
}
