// Package permits enforces a common limit of all hosts on the requests that a backend
// server receives in any second.
package permits

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/deadline"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/wire"
)

const (
	// requestTimeout bounds one permit request to another host. It is more than twice the
	// round-trip time to the farthest region.
	requestTimeout = 300 * time.Millisecond
	// unreachableFor is how long no permits are requested from a host that did not answer.
	unreachableFor = 2 * time.Second
	// minRefusal is the minimum time for which a refusal is valid.
	minRefusal = 10 * time.Millisecond
)

// Permits grants permits to send one request to a backend server. Each region has a
// quota, a part of the bound, which one or two of its hosts grant; the other hosts send
// them requests. Nearly all of the bound can thus be used, wherever callers connect,
// whereas with a fixed quota per host, each host could send only one or two requests. The
// quotas of regions are fixed, so that partitioned hosts together send no more than
// connected ones.
type Permits struct {
	// Clock is the time source of the grants.
	Clock clockwork.Clock
	// Log receives one line for each host that does not answer.
	Log *log.Logger
	// Self is this host.
	Self member.Member
	// Started is when this process started. The grants of the host's previous
	// process are unknown.
	Started time.Time
	// Hosts returns all hosts that may send requests, including this one, or none until
	// they are known.
	Hosts func() []member.Member
	// Slots returns the slots of a service by region, and RemoteWeight is the weight
	// that placement gives to slots in another region.
	Slots        func(service string) map[string]int
	RemoteWeight float64
	// Rate returns how many requests per second a backend server of a service can
	// handle.
	Rate func(service string) float64
	// Overage and Slack define the bound: Rate x Overage + Slack requests in any
	// second.
	Overage, Slack float64
	// Request sends a permit request to another host.
	Request func(ctx context.Context, address string, q *wire.PermitRequest) (*wire.PermitResponse, error)

	mu               sync.Mutex
	grants           map[string][]time.Time // times of the latest grants, by backend server
	allocations      map[string]allocation  // by backend server
	refusedUntil     map[refusal]time.Time  // end of the last refusal
	unreachableUntil map[string]time.Time   // when a permit may be requested from a host again, by host
	rotation         int                    // incremented with each permit request, to rotate the granters
	hosts            []member.Member
	hostsUpdated     time.Time // when hosts was last updated
	granted          int
	denied           int
}

// refusal identifies a backend server and a host that refused a permit for it.
type refusal struct {
	backend, host string
}

// Get requests a permit to send one request to a backend server now. Without a permit,
// retryAfter is the time after which one may be available, or zero if ctx has ended.
func (p *Permits) Get(ctx context.Context, b backend.Backend) (retryAfter time.Duration, ok bool) {
	q := &wire.PermitRequest{Backend: b.Name, Service: b.Service, Domain: b.Domain, Region: b.Region}
	for _, h := range p.granters(q) {
		d, ok := p.requestPermit(ctx, h, q)
		if ok {
			p.increment(&p.granted)
			return 0, true
		}
		if retryAfter == 0 || d < retryAfter {
			retryAfter = d
		}
	}
	if ctx.Err() != nil {
		return 0, false // the caller has disconnected; the hosts may be reachable
	}
	p.increment(&p.denied)
	if retryAfter == 0 {
		retryAfter = unreachableFor
	}
	return retryAfter, false
}

// HandleRequest handles a permit request of another host.
func (p *Permits) HandleRequest(q *wire.PermitRequest) *wire.PermitResponse {
	d, ok := p.grant(q)
	return &wire.PermitResponse{Granted: ok, AgainNanoseconds: int64(d)}
}

// Granted returns how many permits this host has received.
func (p *Permits) Granted() int { return p.read(&p.granted) }

// Denied returns how often this host received no permit.
func (p *Permits) Denied() int { return p.read(&p.denied) }

// requestPermit requests a permit from one host, which may be this one. A host that refused receives
// no further request before the time that it returned.
func (p *Permits) requestPermit(ctx context.Context, h member.Member, q *wire.PermitRequest) (retryAfter time.Duration, ok bool) {
	if h.Name == p.Self.Name {
		return p.grant(q)
	}
	if d := p.backoff(h, q); d > 0 {
		return d, false
	}
	x, f := deadline.With(ctx, p.Clock, requestTimeout)
	defer f()
	r, err := p.Request(x, h.PeerAddress, q)
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.Clock.Now()
	switch {
	case err == nil && r.GetGranted():
		return 0, true
	case err == nil:
		d := max(time.Duration(r.GetAgainNanoseconds()), minRefusal)
		p.refusedUntil[refusal{backend: q.GetBackend(), host: h.Name}] = n.Add(d)
		return d, false
	case ctx.Err() == nil && !p.unreachableUntil[h.Name].After(n):
		p.Log.Warn("host asked for a permit did not answer", "Host", h.Name, "Backend", q.GetBackend(), "Error", err)
		p.unreachableUntil[h.Name] = n.Add(unreachableFor)
	}
	return unreachableFor, false
}

// backoff returns for how long no permit may be requested from a host, zero if
// one may be requested now.
func (p *Permits) backoff(h member.Member, q *wire.PermitRequest) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := deadline.Later(p.unreachableUntil[h.Name], p.refusedUntil[refusal{backend: q.GetBackend(), host: h.Name}])
	return max(t.Sub(p.Clock.Now()), 0)
}

// grant takes a permit from this host's quota if one is left.
func (p *Permits) grant(q *wire.PermitRequest) (retryAfter time.Duration, ok bool) {
	p.refreshHosts()
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.Clock.Now()
	if d := p.Started.Add(window).Sub(n); d > 0 {
		return d, false
	}
	k := p.allocate(q).quota
	l := withinWindow(p.grants[q.GetBackend()], n)
	p.grants[q.GetBackend()] = l
	switch {
	case k == 0:
		return window, false
	case len(l) >= k:
		return l[len(l)-k].Add(window).Sub(n), false
	}
	p.grants[q.GetBackend()] = append(l, n)
	return 0, true
}

// withinWindow returns the times that lie within the window before now.
func withinWindow(l []time.Time, now time.Time) []time.Time {
	for len(l) > 0 && now.Sub(l[0]) >= window {
		l = l[1:]
	}
	return l
}

func (p *Permits) increment(n *int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*n++
}

func (p *Permits) read(n *int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return *n
}
