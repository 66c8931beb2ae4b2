package balancer

import (
	"time"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/health"
)

// Suspects returns the backend servers to probe: those that are out of use or
// draining, those that no request has vouched for lately, and those with a
// health endpoint, which may announce a drain before answers do.
func (b *Balancer) Suspects() []backend.Backend {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.Clock.Now()
	b.refresh(n)
	var r []backend.Backend
	for _, s := range b.servers {
		if s.backend.Health != "" || b.out(s, n) || s.closed(n) || n.Sub(s.succeeded) > recent {
			r = append(r, s.backend)
		}
	}
	return r
}

// Probed takes the result of a probe. A health endpoint that complains only
// makes its backend server the last choice, so one that lies cannot empty a
// domain; one that claims to be well only ends a refusal, so that real requests
// decide, on one slot at first. It does not end a drain that answers announce.
func (b *Balancer) Probed(name string, h health.Health) {
	b.mu.Lock()
	n := b.Clock.Now()
	s := b.known[name]
	if s == nil {
		b.mu.Unlock()
		return
	}
	if !h.Healthy {
		s.sick = n
	}
	if h.Report.Draining {
		s.claimed = n
	}
	s.report(h.Report, n)
	switch {
	case h.Report.Draining && b.mayLeave(s, n):
		if !s.leaving.After(n) {
			b.drain(s, "Health", n)
		}
		s.leave(n.Add(signFor))
	case h.Reached && !h.Report.Draining && s.leaving.After(n) && s.signs == 0:
		s.leaving = n
		s.warm.Began = n
	case h.Reached && s.away.After(n):
		s.away = n
		s.warm.Began = n
	}
	b.mu.Unlock()
	b.Released()
}

// mayLeave bounds the drains that rest on health endpoints alone to an eighth of
// the backend servers, and one: where all endpoints lie, the domain keeps most of
// its slots. The others that claim to drain become the last choice. Drains that
// operators order and that answers to requests announce are not bounded.
func (b *Balancer) mayLeave(s *server, now time.Time) bool {
	if s.leaving.After(now) {
		return true
	}
	m := 0
	for _, v := range b.servers {
		if v.leaving.After(now) && v.signs == 0 {
			m++
		}
	}
	return m < (len(b.servers)+claimDivisor-1)/claimDivisor
}
