package placement

import (
	"time"

	"celeryreach.example/celeryreach/request"
)

const (
	// defaultBackendsPerObject is the number of backend servers that may serve an object:
	// one preferred and one for when that is full. With three, more backend servers have
	// to cache each object under overload, and all queues fill with slow requests.
	defaultBackendsPerObject = 2
	// uncachedWork is the duration of a request for an object that the backend
	// server has not cached, relative to one for a cached object.
	uncachedWork = 3.2
	// lowLoad is the fraction of a backend server's slots below which the preferred
	// backend server of an object is chosen although only another one has the
	// object cached. At that load, a slow request does not delay other requests.
	// Without this rule, objects would never move back to their preferred backend
	// server after a failure, and a new backend server would receive none.
	lowLoad = 0.2
)

// choose returns the candidate with the earliest estimated completion of r, or nil
// if none can take it. A backend server without a free slot is considered if the
// priority of r permits r to queue there. When some backend servers are down and
// queues form, it is often better to wait for a backend server that has the object
// cached than to take a free slot at another, where the request would take three
// times as long and delay other requests.
func (p *Placement) choose(c []candidate, r *request.Request, now time.Time) *server {
	var m *server
	var b float64
	u := !anyCached(c, r)
	for _, v := range c {
		s := v.server
		if p.hasOverdue(s, now) {
			if p.Reachability != nil {
				p.Reachability.Suspect(s.backend)
			}
			continue
		}
		if s.fullUntil.After(now) || p.isProbed(s) || !p.admits(s, r, now) {
			continue
		}
		if s.load(now) < p.loadThreshold(v.position, u)*float64(s.backend.Slots) {
			return s
		}
		if t := s.completion(r, now); m == nil || t < b {
			m, b = s, t
		}
	}
	return m
}

// available returns the preferred candidates that can be sent a request now.
func (p *Placement) available(r *request.Request, c []candidate) []candidate {
	var l []candidate
	for _, v := range p.preferred(r, c) {
		if !v.unavailable() {
			l = append(l, v)
		}
	}
	return l
}

// preferred returns the first candidates of c, as many as BackendsPerObject permits,
// including those that are unavailable at the moment. An unavailable candidate isn't
// replaced by the next one: a backend server that restarted cold is sent requests at a
// low rate. If other backend servers served the requests that exceed this rate, a third
// and a fourth backend server would cache the object, each time with a late answer, and
// the object would never move back. More candidates are added only if all preferred ones
// are unavailable for reasons other than a missing permit, since permits are scarce for
// all backend servers at the same time, and none of them can be served by another host.
func (p *Placement) preferred(r *request.Request, c []candidate) []candidate {
	s := false
	for i, v := range c {
		if i >= p.backendsPerObject() && s {
			return c[:i]
		}
		s = s || !v.unavailable() || v.denied || p.isForwardable(r, v)
	}
	return c
}

// anyCached reports whether one of the candidates has the object of r cached.
func anyCached(c []candidate, r *request.Request) bool {
	for _, v := range c {
		if v.server.hasCached(r) {
			return true
		}
	}
	return false
}

// loadThreshold returns the fraction of its slots below which the candidate at a position
// is chosen even if another candidate has the object cached and this one does not. If, as
// far as this host knows, none has the object cached, the first candidate is chosen while
// it has a free slot. All hosts of the region follow this rule, so the first request
// caches the object for all of them. If hosts chose by load alone, of which each has a
// slightly different estimate, both candidates would cache the object, and two answers
// would be late.
func (p *Placement) loadThreshold(position int, uncached bool) float64 {
	switch {
	case p.IgnoreCache, position == 0 && uncached:
		return 1
	case position == 0:
		return lowLoad
	default:
		return 0
	}
}

// admits reports whether r may be sent to s: a slot is free, or r may queue for one.
// A request for an object that s has not cached may only take a free slot. When many
// objects move at once, such requests would otherwise fill all queues with three
// times the work. They would be late, and they would delay requests for cached
// objects. Free slots are enough to cache the objects again, with one request each.
func (p *Placement) admits(s *server, r *request.Request, now time.Time) bool {
	n, l := float64(s.backend.Slots), s.load(now)
	return l < n || (p.IgnoreCache || s.hasCached(r)) && (l+1)/n <= 1+p.queueLimit(r.Priority)
}

// completion estimates the time until r is done, in units of the duration of a request
// for a cached object.
func (s *server) completion(r *request.Request, now time.Time) float64 {
	n := float64(s.backend.Slots)
	w := max(s.load(now)+1-n, 0) / n
	if s.hasCached(r) {
		return w + 1
	}
	return w + uncachedWork
}

func (p *Placement) backendsPerObject() int {
	if p.BackendsPerObject == 0 {
		return defaultBackendsPerObject
	}
	return p.BackendsPerObject
}

func (p *Placement) queueLimit(priority int) float64 {
	if p.QueueLimit != nil {
		return p.QueueLimit(priority)
	}
	return defaultQueueLimit(priority)
}

// defaultQueueLimit returns how many requests of a priority may queue for each slot of a
// backend server. Under overload, requests of low priority reach their limit first, and
// are refused while requests of high priority may still queue. With higher limits,
// requests of the lowest priority wait so long that they are late.
func defaultQueueLimit(priority int) float64 {
	switch priority {
	case 0:
		return 1.2
	case 1:
		return 0.8
	default:
		return 0.45
	}
}
