// Package permits lets hosts count together what a backend server gets in any second.
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
	// askTimeout bounds one question, more than twice the way to the farthest region and
	// back.
	askTimeout = 300 * time.Millisecond
	// lostFor is for how long a host that gave no answer is not asked again.
	lostFor = 2 * time.Second
	// least is the shortest time for which a refusal holds.
	least = 10 * time.Millisecond
)

// Permits gives permits to send one request to a backend server. Each region has a part
// of the bound, and one or two of its hosts count what they give of it; the other hosts
// ask them. So nearly all of the bound can be used, wherever callers come to. Fixed parts
// for each host would be a request or two. The parts of regions are fixed: hosts that are
// cut off from each other send no more together than hosts that are not.
type Permits struct {
	// Clock measures what was given.
	Clock clockwork.Clock
	// Log receives one line for each host that gives no answer.
	Log *log.Logger
	// Self is this host.
	Self member.Member
	// Begun is when this process started. What the one before it gave is not known.
	Begun time.Time
	// Hosts returns all hosts that may send, this one included, or nobody before they
	// are known.
	Hosts func() []member.Member
	// Slots returns the slots of a service by region, and Far is the weight that
	// placement gives to those of another region.
	Slots func(service string) map[string]int
	Far   float64
	// Rate returns how many requests a second a backend server of a service bears.
	Rate func(service string) float64
	// Overage and Slack make the bound: Rate x Overage + Slack requests in any second.
	Overage, Slack float64
	// Ask asks another host.
	Ask func(ctx context.Context, address string, q *wire.PermitRequest) (*wire.PermitResponse, error)

	mu        sync.Mutex
	given     map[string][]time.Time // the latest permits, by backend server
	divisions map[string]division    // by backend server
	refused   map[refusal]time.Time  // until when a host has none
	lost      map[string]time.Time   // until when a host is not asked
	asked     int
	hosts     []member.Member
	followed  time.Time // when hosts was found out
	granted   int
	denied    int
}

// refusal names a backend server for which a host had no permit.
type refusal struct {
	backend, host string
}

// Get asks for a permit to send one request to a backend server now, or tells in which
// time there may be one; zero if ctx has ended.
func (p *Permits) Get(ctx context.Context, b backend.Backend) (again time.Duration, ok bool) {
	q := &wire.PermitRequest{Backend: b.Name, Service: b.Service, Domain: b.Domain, Region: b.Region}
	for _, h := range p.givers(q) {
		d, ok := p.ask(ctx, h, q)
		if ok {
			p.count(&p.granted)
			return 0, true
		}
		if again == 0 || d < again {
			again = d
		}
	}
	if ctx.Err() != nil {
		return 0, false // it is not the hosts that gave no answer
	}
	p.count(&p.denied)
	if again == 0 {
		again = lostFor
	}
	return again, false
}

// Give answers another host.
func (p *Permits) Give(q *wire.PermitRequest) *wire.PermitResponse {
	d, ok := p.give(q)
	return &wire.PermitResponse{Granted: ok, AgainNanoseconds: int64(d)}
}

// Granted returns how many permits this host has got.
func (p *Permits) Granted() int { return p.read(&p.granted) }

// Denied returns how often this host got no permit.
func (p *Permits) Denied() int { return p.read(&p.denied) }

// ask asks one host, which may be this one. A host that had none is not asked again before
// the time that it told.
func (p *Permits) ask(ctx context.Context, h member.Member, q *wire.PermitRequest) (again time.Duration, ok bool) {
	if h.Name == p.Self.Name {
		return p.give(q)
	}
	if d := p.resting(h, q); d > 0 {
		return d, false
	}
	x, f := deadline.With(ctx, p.Clock, askTimeout)
	defer f()
	r, err := p.Ask(x, h.PeerAddress, q)
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.Clock.Now()
	switch {
	case err == nil && r.GetGranted():
		return 0, true
	case err == nil:
		d := max(time.Duration(r.GetAgainNanoseconds()), least)
		p.refused[refusal{backend: q.GetBackend(), host: h.Name}] = n.Add(d)
		return d, false
	case ctx.Err() == nil && !p.lost[h.Name].After(n):
		p.Log.Warn("host asked for a permit did not answer", "Host", h.Name, "Backend", q.GetBackend(), "Error", err)
		p.lost[h.Name] = n.Add(lostFor)
	}
	return lostFor, false
}

// resting returns for how long a host is not asked, zero if it is.
func (p *Permits) resting(h member.Member, q *wire.PermitRequest) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := deadline.Later(p.lost[h.Name], p.refused[refusal{backend: q.GetBackend(), host: h.Name}])
	return max(t.Sub(p.Clock.Now()), 0)
}

// give counts a permit of this host's part if there is one.
func (p *Permits) give(q *wire.PermitRequest) (again time.Duration, ok bool) {
	p.follow()
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.Clock.Now()
	if d := p.Begun.Add(window).Sub(n); d > 0 {
		return d, false
	}
	k := p.divide(q).part
	l := latest(p.given[q.GetBackend()], n)
	p.given[q.GetBackend()] = l
	switch {
	case k == 0:
		return window, false
	case len(l) >= k:
		return l[len(l)-k].Add(window).Sub(n), false
	}
	p.given[q.GetBackend()] = append(l, n)
	return 0, true
}

// latest returns the times that still count.
func latest(l []time.Time, now time.Time) []time.Time {
	for len(l) > 0 && now.Sub(l[0]) >= window {
		l = l[1:]
	}
	return l
}

func (p *Permits) count(n *int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*n++
}

func (p *Permits) read(n *int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return *n
}
