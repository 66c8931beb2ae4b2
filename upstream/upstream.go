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
	"celeryreach.example/celeryreach/responsecopier"
	"celeryreach.example/celeryreach/responsehead"
	"celeryreach.example/celeryreach/sealableconn"
)

// Header fields that are sent to backend servers.
const (
	// IDHeader carries an id that the backend server echoes in its response, so that a
	// response to another request is detected.
	IDHeader = "X-Request-Id"
	// TimeoutHeader carries the time until the deadline, for example "1.5s".
	TimeoutHeader = "Request-Timeout"
)

const (
	maxHeaderBytes = 64 << 10
	// maxDialDelay is by how much a dial may exceed its time limit on a host that is not late.
	maxDialDelay = 50 * time.Millisecond
	// TCP keepalive probes close a connection whose peer does not respond for 5 s, also
	// while a request waits on it whose bytes the peer has acknowledged: a peer that has
	// lost the state of the connection would never send the response. They don't start
	// while bytes are unacknowledged, so a request written to a dead link waits until its
	// deadline.
	probeIdle     = 2 * time.Second
	probeInterval = time.Second
	probeCount    = 3
)

// ErrNotRun is returned if the backend server itself reports that it did not run the
// request.
var ErrNotRun = errors.New("the backend server refused the request without running it")

// ErrWrongBackend is returned if the address now belongs to another backend server,
// which did not run the request.
var ErrWrongBackend = errors.New("another backend server has the address")

// ErrNotWanted is returned if the backend server had come to want no requests before any
// part of this one was written.
var ErrNotWanted = errors.New("the backend server wants no requests at the moment")

// ErrNotAllowed is returned if the backend server could no longer serve the request by the
// time at which any part of it would have been written.
var ErrNotAllowed = errors.New("the backend server may not serve the request")

// errNotRepeated ends a request that net/http would send again.
var errNotRepeated = errors.New("the connection broke off, and the request is not sent again on another one")

// ErrCallerBody is returned if the request could not be sent whole because reading the caller's body
// failed.
var ErrCallerBody = errors.New("the caller's request body ended early")

var errOutOfReach = errors.New("the last connection could not be opened")

// Upstream sends requests through the transports of net/http.
type Upstream struct {
	// Clock measures the time until deadlines.
	Clock clockwork.Clock
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// SetHeaders sets the header fields that a backend server receives in addition to
	// those of the caller; left is the time until the deadline. Nil sets IDHeader and
	// TimeoutHeader.
	SetHeaders func(h http.Header, r *request.Request, b backend.Backend, left time.Duration)
	// CheckResponse checks a response. It returns an error if the response cannot be
	// passed on: ErrNotRun or another reason. Nil applies the rules of this package.
	CheckResponse func(p *http.Response, r *request.Request, b backend.Backend) (ran bool, err error)
	// ReuseForNonIdempotent allows kept-alive connections for non-idempotent requests
	// too.
	ReuseForNonIdempotent bool
	// Dial opens a connection to a backend server; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnResponse is called with each response and the time at which its request was sent.
	// err is the result of CheckResponse: unless it is nil or ErrNotRun, the response is
	// not proven to be from b. The body must not be read. Nil disables the call.
	OnResponse func(b backend.Backend, sent time.Time, p *http.Response, err error)
	// CheckSend returns an error if r may not be sent to b now: ErrNotWanted or
	// ErrNotAllowed. It is called for each connection on which a request is about to be
	// sent: opening one takes time, and net/http by itself sends requests again long after
	// they were placed. Nil permits all requests.
	CheckSend func(r *request.Request, b backend.Backend) error
	// MayDial reports whether a new connection to an address may be opened for a request.
	// Nil permits all.
	MayDial func(address string) bool
	// OnDial is called when a connection to an address was opened or, with an error, could
	// not be opened. Nil disables the call.
	OnDial func(address string, err error)
	// MayRepeat reports whether a request that may have been received on one connection may
	// be sent again on another. It is called at most once for each Send. Nil permits it.
	MayRepeat func(r *request.Request) bool
	// OnTransportRetry is called when net/http by itself sends a request to b again on
	// another connection. Nil disables the call.
	OnTransportRetry func(r *request.Request, b backend.Backend)

	// keepAlive reuses idle connections; singleUse opens one for each request.
	keepAlive http.Transport
	singleUse http.Transport

	mu sync.Mutex
	// echoesID records, by address, which backend servers have echoed IDHeader.
	echoesID map[string]bool
}

// New returns an Upstream that reuses idle connections for idempotent requests only.
// Other requests use a new connection, because an idle connection may have gone silent
// and net/http by itself repeats requests on reused connections.
func New(c clockwork.Clock, dial time.Duration) *Upstream {
	u := &Upstream{Clock: c, DialTimeout: dial, echoesID: make(map[string]bool)}
	u.keepAlive.DialContext = u.dial
	u.keepAlive.MaxIdleConnsPerHost = 8
	u.keepAlive.IdleConnTimeout = 10 * time.Second
	u.keepAlive.DisableCompression = true
	u.keepAlive.MaxResponseHeaderBytes = maxHeaderBytes
	u.singleUse.DialContext = u.dial
	u.singleUse.DisableKeepAlives = true
	u.singleUse.DisableCompression = true
	u.singleUse.MaxResponseHeaderBytes = maxHeaderBytes
	return u
}

// Send sends r to b. It opens a new connection if fresh is set, and also if r is not
// idempotent and ReuseForNonIdempotent is not set. Ran is false only if it is proven
// that b did not run r: either no byte was written and none can be written later, or b
// itself reports that it did not run r.
func (u *Upstream) Send(ctx context.Context, r *request.Request, b backend.Backend, fresh bool) (p *http.Response, ran bool, err error) {
	y := &body{reader: r.Body, readStarted: r.BodyReadStarted}
	// The response is read after Send, so x ends only with ctx.
	x, f := context.WithCancelCause(ctx)
	c := u.trackConns(r, b, func(err error) {
		y.seal()
		f(err)
	})
	x = httptrace.WithClientTrace(x, &httptrace.ClientTrace{GotConn: c.gotConn})
	q, err := u.newRequest(x, r, b, y)
	if err != nil {
		return nil, false, err
	}
	t := &u.keepAlive
	if fresh || r.NonIdempotent && !u.ReuseForNonIdempotent {
		t = &u.singleUse
	}
	s := u.Clock.Now()
	p, err = t.RoundTrip(q)
	if err != nil {
		y.seal()
		ran := c.sealWritten()
		switch {
		case c.abandoned != nil && !ran:
			err = c.abandoned
		case y.hasFailed():
			err = ErrCallerBody
		}
		return nil, ran, errors.Wrap(err, "upstream")
	}
	ran, err = u.checkAnswer(p, r, b)
	if u.OnResponse != nil {
		u.OnResponse(b, s, p, err)
	}
	if err != nil {
		y.seal()
		p.Body.Close()
		// It proves nothing on what an earlier connection delivered.
		return nil, ran || c.written, err
	}
	// The server side of net/http discards what is left of the caller's body when the request ends.
	// The backend server must not get a later part of it in place of that.
	p.Body = &responseBody{ReadCloser: p.Body, seal: y.seal}
	return p, true, nil
}

// trackConns returns the tracker of the connections on which r is sent to b. Abandon ends
// the request.
func (u *Upstream) trackConns(r *request.Request, b backend.Backend, abandon func(error)) *connTracker {
	return &connTracker{
		abandon: abandon,
		checkSend: func() error {
			if u.CheckSend == nil {
				return nil
			}
			return u.CheckSend(r, b)
		},
		mayRepeat: func() bool { return u.MayRepeat == nil || u.MayRepeat(r) },
		onTransportRetry: func() {
			if u.OnTransportRetry != nil {
				u.OnTransportRetry(r, b)
			}
		},
	}
}

// Close closes all idle connections.
func (u *Upstream) Close() {
	u.keepAlive.CloseIdleConnections()
	u.singleUse.CloseIdleConnections()
}

// newRequest returns the HTTP request that sends r to b with body y.
func (u *Upstream) newRequest(ctx context.Context, r *request.Request, b backend.Backend, y *body) (*http.Request, error) {
	q, err := http.NewRequestWithContext(ctx, r.Method, "http://"+b.Address+r.Target, nil)
	if err != nil {
		return nil, errors.Wrap(err, "upstream request")
	}
	q.Header = r.Header.Clone()
	if r.Host != "" {
		q.Host = r.Host
	}
	d := r.Deadline.Sub(u.Clock.Now())
	if u.SetHeaders != nil {
		u.SetHeaders(q.Header, r, b, d)
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

// checkAnswer checks the head, and then applies CheckResponse, or the rules of this package if it is
// nil.
func (u *Upstream) checkAnswer(p *http.Response, r *request.Request, b backend.Backend) (ran bool, err error) {
	if err := responsehead.Check(p.StatusCode, p.Header); err != nil {
		return true, err
	}
	if u.CheckResponse != nil {
		return u.CheckResponse(p, r, b)
	}
	return u.checkEcho(p, r, b)
}

// checkEcho verifies that a response belongs to its request. A backend server that has
// echoed an id before must continue to echo ids. A backend server that has never echoed
// an id is trusted, since some backend servers cannot echo ids.
func (u *Upstream) checkEcho(p *http.Response, r *request.Request, b backend.Backend) (ran bool, err error) {
	v := p.Header.Get(IDHeader)
	u.mu.Lock()
	e := u.echoesID[b.Address]
	u.echoesID[b.Address] = e || v == r.ID
	u.mu.Unlock()
	switch {
	case v != "" && v != r.ID, v == "" && e:
		return true, errors.New("the answer belongs to another request")
	case p.StatusCode == http.StatusServiceUnavailable && p.Header.Get(responsecopier.NotRunHeader) != "":
		return false, ErrNotRun
	default:
		return true, nil
	}
}

// Probe opens a connection to an address and closes it.
func (u *Upstream) Probe(ctx context.Context, address string) {
	c, err := u.open(ctx, address)
	if err != nil {
		return // OnDial was called with the error
	}
	_ = c.Close() // nothing was written
}

// dial opens a connection that records whether anything was written to it.
func (u *Upstream) dial(ctx context.Context, _, address string) (net.Conn, error) {
	if u.MayDial != nil && !u.MayDial(address) {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errOutOfReach}
	}
	c, err := u.open(ctx, address)
	if err != nil {
		return nil, err
	}
	return &sealableconn.Sealableconn{Conn: c, Clock: u.Clock}, nil
}

// open opens a connection and passes the result to OnDial.
func (u *Upstream) open(ctx context.Context, address string) (net.Conn, error) {
	t := u.Clock.Now()
	c, err := u.connect(ctx, address)
	// A dial that ended with its request, or while this process was paused or late, says
	// nothing about the path.
	if u.OnDial != nil && (err == nil || ctx.Err() == nil && u.Clock.Since(t) < u.DialTimeout+maxDialDelay) {
		u.OnDial(address, err)
	}
	return c, err
}

// connect opens a connection within DialTimeout.
func (u *Upstream) connect(ctx context.Context, address string) (net.Conn, error) {
	if u.Dial != nil {
		x, f := context.WithTimeout(ctx, u.DialTimeout)
		defer f()
		return u.Dial(x, address)
	}
	d := net.Dialer{Timeout: u.DialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
	}}
	return d.DialContext(ctx, "tcp", address)
}
