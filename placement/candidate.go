package placement

import (
	"slices"
	"sort"
	"time"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/coldrate"
	"celeryreach.example/celeryreach/rendezvous"
	"celeryreach.example/celeryreach/request"
)

// candidate is a backend server that may serve a request.
type candidate struct {
	server   *server
	score    float64
	position int // in the order of preference, 0 first

	// The reasons for which it can't be sent a request at the moment.
	denied    bool // there is no permit for it
	ejected   bool
	cold      bool // this host's part of the rate of a cold backend server is used up
	limited   bool // this host's part of its rate limit is used up
	backedOff bool // it wants no requests
	lost      bool // this host can't reach it
	unsent    bool // this host could not open a connection to it for this request
}

// unavailable reports whether the backend server can't be sent a request at the moment.
func (c candidate) unavailable() bool {
	return c.denied || c.ejected || c.cold || c.limited || c.backedOff || c.lost
}

// candidates returns the backend servers that may serve r in descending order of the
// rendezvous score of its object.
func (p *Placement) candidates(g *pool, r *request.Request, now time.Time) []candidate {
	k := r.Service.Name + "\x00" + r.Object
	if r.Object == "" {
		k = r.ID
	}
	var l []candidate
	for _, s := range g.servers {
		b := s.backend
		if !r.Homes.Allows(b.Region) || p.isTakenOver(b, r.Homes) {
			continue
		}
		// One that was tried is no candidate, unless the try shows only that this host can't
		// reach it.
		t := p.IsLost(b) && r.AttemptedBackends.IsUnsent(b.Name)
		if !t && r.AttemptedBackends.Has(b.Name) {
			continue
		}
		w := float64(b.Slots) * g.availability.Available(b.Region)
		if b.Region != p.Region {
			w *= p.RemoteWeight
		}
		c := p.newCandidate(g, s, now)
		c.lost, c.unsent = t || !p.reaches(b), t
		c.score = rendezvous.Score(k, b.Name, w)
		l = append(l, c)
	}
	sort.Slice(l, func(i, j int) bool { return l[i].score > l[j].score })
	for i := range l {
		l[i].position = i
	}
	return l
}

// newCandidate returns a backend server with the reasons for which it can't be sent a
// request.
func (p *Placement) newCandidate(g *pool, s *server, now time.Time) candidate {
	b := s.backend
	return candidate{
		server: s, denied: s.deniedUntil.After(now), ejected: g.outlier.Ejected(b.Name, now),
		cold:      s.coldEnd().After(now) && !s.withinColdRate(p.coldShare(b), now),
		limited:   p.Limit != nil && !p.Limit.Allow(b),
		backedOff: p.BackedOff(b),
	}
}

// RetryAfter returns the time until the first backend server may be sent a request like r
// again, zero if one may now. It includes those that r was sent to before, since the
// caller's next request may be sent there.
func (p *Placement) RetryAfter(r *request.Request) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.pools[r.Service.Name]
	if g == nil {
		return 0
	}
	q := *r
	q.AttemptedBackends = nil
	n := p.Clock.Now()
	var d time.Duration
	for i, c := range p.preferred(&q, p.candidates(g, &q, n)) {
		if u := p.untilAvailable(g, c, n); i == 0 || u < d {
			d = u
		}
	}
	return d
}

// untilAvailable returns the time until no reason remains for which a candidate can't be
// sent a request.
func (p *Placement) untilAvailable(g *pool, c candidate, now time.Time) time.Duration {
	s := c.server
	// Both times are zero or past if they don't apply.
	d := max(s.deniedUntil.Sub(now), g.outlier.EjectedUntil(s.backend.Name).Sub(now), 0)
	if c.lost {
		d = max(d, p.Reachability.RetryAfter(s.backend))
	}
	if c.backedOff {
		d = max(d, p.Backoff.RetryAfter(s.backend))
	}
	if c.limited {
		d = max(d, p.Limit.RetryAfter(s.backend))
	}
	if c.cold {
		u := s.coldEnd().Sub(now)
		if v, ok := coldrate.RetryAfter(s.coldSends, p.coldShare(s.backend), now); ok {
			u = min(u, v)
		}
		d = max(d, u)
	}
	return d
}

// BackedOff reports whether a backend server wants no requests at the moment.
func (p *Placement) BackedOff(b backend.Backend) bool {
	return p.Backoff != nil && !p.Backoff.Allow(b)
}

// isProbed reports whether the backoff of a backend server has ended and one request is
// already testing whether it accepts requests again.
func (p *Placement) isProbed(s *server) bool {
	if p.Backoff == nil {
		return false
	}
	t, ok := p.Backoff.Recovering(s.backend)
	return ok && slices.ContainsFunc(s.running, func(f activeRequest) bool { return !f.startedAt.Before(t) })
}

// coldShare returns how many requests a second this host may send to a cold backend server.
func (p *Placement) coldShare(b backend.Backend) int {
	q, _ := p.ColdCapacity(b.Service)
	return p.ColdRate.Share(b.Name, q)
}

// UnavailableFields returns, as log fields, how many of the backend servers that may serve
// r can't be sent a request, by reason.
func (p *Placement) UnavailableFields(r *request.Request) []any {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.pools[r.Service.Name]
	if g == nil {
		return nil
	}
	var b, l, e, c, d, u int
	for _, v := range p.candidates(g, r, p.Clock.Now()) {
		b += toInt(v.backedOff)
		l += toInt(v.limited)
		e += toInt(v.ejected)
		c += toInt(v.cold)
		d += toInt(v.denied)
		u += toInt(v.lost)
	}
	return []any{"Unreachable", u, "BackedOff", b, "Limited", l, "Ejected", e, "Cold", c, "Denied", d}
}

func toInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
