package balancer

import (
	"time"

	"celeryreach.example/celeryreach/backend"
)

// pick returns the backend server to use, nil if no slot is free. If only
// excluded backend servers remain, they are used nevertheless: only drains may
// take all backend servers of a failure domain out of use, never failure
// detection.
func (b *Balancer) pick(now time.Time) *server {
	if s := b.pickOfTwo(now); s != nil {
		return s
	}
	var best *server
	m := 0.0
	i := false
	for _, s := range b.servers {
		if b.excluded(s, now) {
			continue
		}
		i = i || b.usable(s, now) > 0
		if f := b.score(s, now); f > 0 && (best == nil || f < m) {
			best = s
			m = f
		}
	}
	if i {
		return best
	}
	for _, s := range b.servers {
		if f := b.score(s, now); f > 0 && (best == nil || f < m) {
			best = s
			m = f
		}
	}
	return best
}

// pickOfTwo draws two backend servers at random and returns the better one. It
// returns nil unless both have a free slot and neither is excluded.
func (b *Balancer) pickOfTwo(now time.Time) *server {
	n := len(b.servers)
	if n < 2 {
		return nil
	}
	i := b.random(n)
	j := b.random(n - 1)
	if j >= i {
		j++
	}
	x := b.servers[i]
	y := b.servers[j]
	if b.excluded(x, now) || b.excluded(y, now) {
		return nil
	}
	f := b.score(x, now)
	g := b.score(y, now)
	switch {
	case f == 0 || g == 0:
		return nil
	case f <= g:
		return x
	default:
		return y
	}
}

// score returns the relative expected duration of a request: lower is better,
// and zero means that no slot is free.
func (b *Balancer) score(s *server, now time.Time) float64 {
	n := b.usable(s, now)
	if s.busy >= n {
		return 0
	}
	f := float64(s.busy+1) / float64(n)
	if s.meanHold > 0 && b.meanHold > 0 {
		f *= min(max(s.meanHold/b.meanHold, 1/maxScoreFactor), maxScoreFactor)
	}
	if now.Sub(s.reportedAt) < loadReportValidity {
		f *= 1 + s.reportedLoad
	}
	if s.unhealthy(now) {
		f *= maxScoreFactor
	}
	return f
}

// usable returns how many slots this host may use now, including busy ones.
func (b *Balancer) usable(s *server, now time.Time) int {
	if s.isDraining(now) {
		return 0
	}
	n := b.Slots(s.backend) - s.lent
	if c := s.backend.Connections; c > 0 {
		n = min(n, c)
	}
	return max(0, s.warmup.Slots(n, now))
}

// excluded reports whether a backend server is out of use because of refused
// connections, shed requests or outlier ejection.
func (b *Balancer) excluded(s *server, now time.Time) bool {
	return s.avoidUntil.After(now) || b.outliers.Ejected(s.backend.Name, now)
}

// refresh frees expired slots and applies configuration changes.
func (b *Balancer) refresh(now time.Time) {
	b.releaseExpired(now)
	l := b.Backends()
	if len(l) == len(b.lastBackends) && (len(l) == 0 || &l[0] == &b.lastBackends[0]) {
		return
	}
	f := b.byName == nil
	if f {
		b.byName = make(map[string]*server)
		b.outliers.MaxConsecutive = ejectAfterFailures
		b.outliers.Ejection = ejectTime
		b.outliers.MaxFraction = maxEjectedFraction
	}
	for _, s := range b.servers {
		s.index = -1
	}
	b.lastBackends = l
	b.servers = b.servers[:0]
	b.names = b.names[:0]
	for i, v := range l {
		s := b.updateServer(v, f, now)
		s.index = i
		b.servers = append(b.servers, s)
		b.names = append(b.names, v.Name)
	}
	b.removeUnlisted(now)
}

// updateServer updates and returns the state of a backend server. Those in the
// first configuration are considered warm: a host start, which happens
// thousands of times a day in a large fleet, must not slow down a warm failure
// domain.
func (b *Balancer) updateServer(v backend.Backend, first bool, now time.Time) *server {
	s := b.byName[v.Name]
	if s == nil {
		s = &server{releaseDelay: minReleaseDelay}
		b.byName[v.Name] = s
		if !first {
			s.warmup.StartedAt = now
		}
	}
	o := s.backend.Draining
	s.backend.Name = v.Name
	switch {
	case v.Draining && !o:
		b.beginDrain(s, "Operator", now)
	case v.Draining:
	case o || s.removed || s.backend.Address != v.Address && s.backend.Address != "":
		s.warmup.StartedAt = now
		s.drainSign = ""
	}
	s.removed = false
	s.backend = v
	s.warmup.Duration = v.WarmUp
	return s
}

// removeUnlisted drops removed backend servers when their requests have ended.
func (b *Balancer) removeUnlisted(now time.Time) {
	for k, s := range b.byName {
		if s.index < 0 && !s.removed {
			s.removed = true
			b.beginDrain(s, "Removed", now)
		}
		if s.index < 0 && s.busy+s.lent == 0 {
			delete(b.byName, k)
			b.outliers.Forget(k)
		}
	}
}
