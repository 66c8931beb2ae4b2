package balancer

import (
	"time"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/health"
)

// ProbeTargets returns the backend servers to probe: those that are excluded or
// draining, those without a recent successful request, and those with a health
// endpoint, which may announce a drain before answers do.
func (b *Balancer) ProbeTargets() []backend.Backend {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.Clock.Now()
	b.refresh(n)
	var r []backend.Backend
	for _, s := range b.servers {
		if s.backend.Health != "" || b.excluded(s, n) || s.isDraining(n) || n.Sub(s.succeededAt) > recentWindow {
			r = append(r, s.backend)
		}
	}
	return r
}

// HandleProbe handles the result of a probe. After an unhealthy result, the
// backend server is chosen last but not excluded, so that false reports cannot
// take a complete failure domain out of use. A response only ends the exclusion
// after refused connections or shed requests, and the backend server starts
// with one slot, so that real requests show whether it works. A response does
// not end a drain that answers announce.
func (b *Balancer) HandleProbe(name string, h health.Health) {
	b.mu.Lock()
	n := b.Clock.Now()
	s := b.byName[name]
	if s == nil {
		b.mu.Unlock()
		return
	}
	if !h.Healthy {
		s.unhealthyAt = n
	}
	if h.Report.Draining {
		s.drainClaimedAt = n
	}
	s.recordLoad(h.Report, n)
	switch {
	case h.Report.Draining && b.mayDrainOnProbe(s, n):
		if !s.drainUntil.After(n) {
			b.beginDrain(s, "Health", n)
		}
		s.extendDrain(n.Add(drainSignValidity))
	case h.Reached && !h.Report.Draining && s.drainUntil.After(n) && s.answerDrains == 0:
		s.drainUntil = n
		s.warmup.StartedAt = n
	case h.Reached && s.avoidUntil.After(n):
		s.avoidUntil = n
		s.warmup.StartedAt = n
	}
	b.mu.Unlock()
	b.OnReleased()
}

// mayDrainOnProbe limits the drains that rest on health endpoints alone to an
// eighth of the backend servers, rounded up: if all endpoints report wrongly,
// the failure domain keeps most of its slots. The others that report a drain
// become the last choice. Drains that operators order or that answers to
// requests announce are not limited.
func (b *Balancer) mayDrainOnProbe(s *server, now time.Time) bool {
	if s.drainUntil.After(now) {
		return true
	}
	m := 0
	for _, v := range b.servers {
		if v.drainUntil.After(now) && v.answerDrains == 0 {
			m++
		}
	}
	return m < (len(b.servers)+probeDrainDivisor-1)/probeDrainDivisor
}
