package placement

import (
	"time"

	"celeryreach.example/celeryreach/request"
)

const (
	// defaultSpread is two: one more than the object needs, for when the first
	// has no room. With three, more backend servers learn each object in trouble,
	// and lines of slow work form everywhere.
	defaultSpread = 2
	// unknown is the work on an object that is new to a backend server, in units
	// of the work on one that it knows.
	unknown = 3.2
	// calm is the part of its slots below which a backend server takes an object
	// back, or a new one its first objects, though another one knows them. One slow
	// request then keeps nobody waiting. Otherwise objects would stay for ever
	// where a trouble sent them, and a backend server that joins would get none.
	calm = 0.2
)

// choose returns the candidate at which r will be done first, among the few that
// its object may be at. A backend server without a free slot counts as far as the
// request's rank lets it wait there. Lines form when some of the backend servers
// are away. Waiting for the one that knows the object is then often better than a
// free slot at one that does not, which would take three times as long and keep
// others waiting.
func (p *Placement) choose(c []candidate, r *request.Request, now time.Time) *server {
	var m *server
	var b float64
	u := !anyKnows(c, r)
	for _, v := range c {
		s := v.server
		if s.full.After(now) || p.overdue(s, now) || !p.admits(s, r, now) {
			continue
		}
		if s.load(now) < p.calm(v.place, u)*float64(s.backend.Slots) {
			return s
		}
		if t := s.takes(r, now); m == nil || t < b {
			m, b = s, t
		}
	}
	return m
}

// places returns the few candidates that a request may go to now.
func (p *Placement) places(c []candidate) []candidate {
	var l []candidate
	for _, v := range p.reachable(c) {
		if !v.resting {
			l = append(l, v)
		}
	}
	return l
}

// reachable returns the candidates that a request may go to, or could if they got something
// now. One that gets nothing for a moment keeps its place meanwhile: backend servers that
// come back cold get a request now and then, and if others took their places in between,
// objects would become known, by a late answer each, at a third and a fourth one, and never
// go back. Only when all places of an object rest, the next takes it; and not that when
// permits are short, since they are short everywhere.
func (p *Placement) reachable(c []candidate) []candidate {
	s := false
	for i, v := range c {
		if i >= p.spread() && s {
			return c[:i]
		}
		s = s || !v.resting || v.denied
	}
	return c
}

// anyKnows reports whether one of the candidates is known to have worked on the
// object of r.
func anyKnows(c []candidate, r *request.Request) bool {
	for _, v := range c {
		if v.server.knows(r) {
			return true
		}
	}
	return false
}

// calm is the part of its slots below which the candidate at a place gets the
// request whatever others know. An object that this host knows nowhere goes to its
// first place as long as that has a free slot, as on all hosts of the region: the
// first request makes it known there for all of them. By loads alone, which each
// host knows a little differently, hosts would make it known at both places, and
// both times an answer is late.
func (p *Placement) calm(place int, unknown bool) float64 {
	switch {
	case p.Eager, place == 0 && unknown:
		return 1
	case place == 0:
		return calm
	default:
		return 0
	}
}

// admits reports whether r gets a slot at once or may wait for one. A request for
// an object that is new here may only take a free slot. When many objects lose
// their places at once, requests for new ones would otherwise fill all lines with
// three times the work, be late themselves, and make those late for which a slot
// has everything ready. Free slots are enough to make the objects known again,
// each by one request.
func (p *Placement) admits(s *server, r *request.Request, now time.Time) bool {
	n, l := float64(s.backend.Slots), s.load(now)
	return l < n || (p.Eager || s.knows(r)) && (l+1)/n <= 1+p.line(r.Priority)
}

// takes estimates when r would be done, in units of the work on a known object.
func (s *server) takes(r *request.Request, now time.Time) float64 {
	n := float64(s.backend.Slots)
	w := max(s.load(now)+1-n, 0) / n
	if s.knows(r) {
		return w + 1
	}
	return w + unknown
}

func (p *Placement) spread() int {
	if p.Spread == 0 {
		return defaultSpread
	}
	return p.Spread
}

func (p *Placement) line(priority int) float64 {
	if p.Line != nil {
		return p.Line(priority)
	}
	return line(priority)
}

// line is how many requests may wait before each slot of a backend server, by
// rank. Under overload the lines of the less urgent fill first, so that they
// are refused while the more urgent still find room. Longer ones make the least
// urgent wait so long that they are late.
func line(priority int) float64 {
	switch priority {
	case 0:
		return 1.2
	case 1:
		return 0.8
	default:
		return 0.45
	}
}
