package permits

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/rendezvous"
	"celeryreach.example/celeryreach/wire"
)

const (
	// window is a little longer than the second over which a backend server counts:
	// requests with permits take different times to arrive.
	window = 1100 * time.Millisecond
	// safety is the part of the bound that is given out. Hosts disagree for a moment on
	// who gives, and a host that stood still sends late.
	safety = 0.93
	// givers is how many hosts of a region give permits for one backend server: when one
	// is lost, the other goes on with its part.
	givers = 2
	// followEvery is how often the division follows the list of hosts.
	followEvery = 500 * time.Millisecond
)

// division is who gives permits for a backend server, as this host sees it.
type division struct {
	givers []member.Member // of the own region
	home   []member.Member // of the backend server's region, if that is another one
	part   int             // of this host, in one window
}

// givers returns whom to ask, one after the other: this host, others of the region, and one
// of the backend server's region, where most of the permits are.
func (p *Permits) givers(q *wire.PermitRequest) []member.Member {
	p.follow()
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.divide(q)
	p.asked++
	l := turned(d.givers, p.asked)
	slices.SortStableFunc(l, func(x, y member.Member) int {
		return first(x.Name == p.Self.Name, y.Name == p.Self.Name)
	})
	if len(d.home) > 0 {
		l = append(l, d.home[p.asked%len(d.home)])
	}
	return l
}

// turned returns the hosts in another order at each turn.
func turned(l []member.Member, turn int) []member.Member {
	if len(l) == 0 {
		return nil
	}
	n := turn % len(l)
	return slices.Concat(l[n:], l[:n])
}

// first orders what has a property before what has not.
func first(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return -1
	default:
		return 1
	}
}

// follow finds out which hosts there are. It is called without the lock: Hosts takes locks
// of its own.
func (p *Permits) follow() {
	n := p.Clock.Now()
	p.mu.Lock()
	f := p.divisions != nil && n.Sub(p.followed) < followEvery
	p.mu.Unlock()
	if f {
		return
	}
	h := p.Hosts()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts, p.followed = h, n
	p.divisions = make(map[string]division)
	p.forget(n)
}

// forget drops what no longer counts.
func (p *Permits) forget(now time.Time) {
	if p.given == nil {
		p.given, p.refused, p.lost = make(map[string][]time.Time), make(map[refusal]time.Time), make(map[string]time.Time)
	}
	for k, l := range p.given {
		if len(latest(l, now)) == 0 {
			delete(p.given, k)
		}
	}
	for k, t := range p.refused {
		if !t.After(now) {
			delete(p.refused, k)
		}
	}
	for k, t := range p.lost {
		if !t.After(now) {
			delete(p.lost, k)
		}
	}
}

// divide finds out who gives permits for a backend server.
func (p *Permits) divide(q *wire.PermitRequest) division {
	if d, ok := p.divisions[q.GetBackend()]; ok {
		return d
	}
	k := p.regionPart(q, int(safety*(p.Rate(q.GetService())*p.Overage+p.Slack)))
	d := division{givers: p.order(q, p.Self.Region, k)}
	if q.GetRegion() != p.Self.Region {
		d.home = p.order(q, q.GetRegion(), givers)
	}
	for i, h := range d.givers {
		if h.Name == p.Self.Name {
			d.part = (k + len(d.givers) - 1 - i) / len(d.givers)
		}
	}
	p.divisions[q.GetBackend()] = d
	return d
}

// order returns the hosts of a region that give permits, no more than there are permits:
// those of the backend server's failure domain first, since they reach it when others do
// not.
func (p *Permits) order(q *wire.PermitRequest, region string, permits int) []member.Member {
	var l []member.Member
	for _, h := range p.hosts {
		if h.Region == region {
			l = append(l, h)
		}
	}
	slices.SortFunc(l, func(x, y member.Member) int {
		if c := first(x.Domain == q.GetDomain(), y.Domain == q.GetDomain()); c != 0 {
			return c
		}
		return cmp.Compare(rendezvous.Uniform(q.GetBackend(), y.Name), rendezvous.Uniform(q.GetBackend(), x.Name))
	})
	return l[:min(len(l), givers, permits)]
}

// regionPart returns how many of all permits the own region has: as many as placement
// sends there of all requests, if each host has as many callers, and at least one. Sums go
// in one order on all hosts, or parts that are rounded would not add up.
func (p *Permits) regionPart(q *wire.PermitRequest, all int) int {
	n := make(map[string]float64)
	for _, h := range p.hosts {
		n[h.Region]++
	}
	s, t := p.Slots(q.GetService()), 0.0
	l := slices.Sorted(maps.Keys(n))
	for _, r := range l {
		n[r] *= p.share(r, q.GetRegion(), s)
		t += n[r]
	}
	slices.SortStableFunc(l, func(x, y string) int { return cmp.Compare(n[x], n[y]) })
	for i, r := range l {
		k := min(max(int(math.Round(float64(all)*n[r]/t)), 1), all)
		if i == len(l)-1 {
			k = all
		}
		if r == p.Self.Region {
			return k
		}
		all -= k
		t -= n[r]
	}
	return 0
}

// share returns which part of the requests of one region placement sends to each slot in
// another, or in the same one.
func (p *Permits) share(from, to string, slots map[string]int) float64 {
	t := 0.0
	for _, r := range slices.Sorted(maps.Keys(slots)) {
		t += float64(slots[r]) * p.weight(from, r)
	}
	return p.weight(from, to) / max(t, 1)
}

func (p *Permits) weight(from, to string) float64 {
	if from == to {
		return 1
	}
	return p.Far
}
