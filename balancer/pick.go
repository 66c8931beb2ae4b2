package balancer

import (
	"time"

	"celeryreach.example/celeryreach/backend"
)

// pick returns the backend server to use, nil when no slot is free. When those
// that are out of use are all there is, they are used after all: a domain is
// never emptied by judgement, only by drains.
func (b *Balancer) pick(now time.Time) *server {
	if s := b.two(now); s != nil {
		return s
	}
	var best *server
	m := 0.0
	i := false
	for _, s := range b.servers {
		if b.out(s, now) {
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

// two returns the better one of two that were drawn, nil unless both are free.
func (b *Balancer) two(now time.Time) *server {
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
	if b.out(x, now) || b.out(y, now) {
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

// score is how long a request will probably take, the lower the better, and
// zero when no slot is free.
func (b *Balancer) score(s *server, now time.Time) float64 {
	n := b.usable(s, now)
	if s.busy >= n {
		return 0
	}
	f := float64(s.busy+1) / float64(n)
	if s.hold > 0 && b.mean > 0 {
		f *= min(max(s.hold/b.mean, 1/maxWeight), maxWeight)
	}
	if now.Sub(s.reported) < reportFor {
		f *= 1 + s.load
	}
	if s.unhealthy(now) {
		f *= maxWeight
	}
	return f
}

// usable returns how many slots this host may use now, busy ones included.
func (b *Balancer) usable(s *server, now time.Time) int {
	if s.closed(now) {
		return 0
	}
	n := b.Slots(s.backend) - s.lent
	if c := s.backend.Connections; c > 0 {
		n = min(n, c)
	}
	return max(0, s.warm.Slots(n, now))
}

// out reports whether a backend server is out of use by judgement.
func (b *Balancer) out(s *server, now time.Time) bool {
	return s.away.After(now) || b.outliers.Ejected(s.backend.Name, now)
}

// refresh follows the configuration.
func (b *Balancer) refresh(now time.Time) {
	b.settle(now)
	l := b.Backends()
	if len(l) == len(b.list) && (len(l) == 0 || &l[0] == &b.list[0]) {
		return
	}
	f := b.known == nil
	if f {
		b.known = make(map[string]*server)
		b.outliers.Consecutive = consecutive
		b.outliers.For = ejectFor
		b.outliers.Fraction = ejectFraction
	}
	for _, s := range b.servers {
		s.index = -1
	}
	b.list = l
	b.servers = b.servers[:0]
	b.names = b.names[:0]
	for i, v := range l {
		s := b.server(v, f, now)
		s.index = i
		b.servers = append(b.servers, s)
		b.names = append(b.names, v.Name)
	}
	b.forget(now)
}

// server returns the state of a backend server. Those that stand in the first
// configuration are taken to be warm: a host that starts, which happens
// thousands of times a day in a large fleet, must not slow down a warm domain.
func (b *Balancer) server(v backend.Backend, first bool, now time.Time) *server {
	s := b.known[v.Name]
	if s == nil {
		s = &server{linger: minLinger}
		b.known[v.Name] = s
		if !first {
			s.warm.Began = now
		}
	}
	o := s.backend.Draining
	s.backend.Name = v.Name
	switch {
	case v.Draining && !o:
		b.drain(s, "Operator", now)
	case v.Draining:
	case o || s.removed || s.backend.Address != v.Address && s.backend.Address != "":
		s.warm.Began = now
		s.sign = ""
	}
	s.removed = false
	s.backend = v
	s.warm.For = v.WarmUp
	return s
}

// forget drops the backend servers that were removed when their work has ended.
func (b *Balancer) forget(now time.Time) {
	for k, s := range b.known {
		if s.index < 0 && !s.removed {
			s.removed = true
			b.drain(s, "Removed", now)
		}
		if s.index < 0 && s.busy+s.lent == 0 {
			delete(b.known, k)
			b.outliers.Forget(k)
		}
	}
}
