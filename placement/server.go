package placement

import (
	"time"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/coldpace"
	"celeryreach.example/celeryreach/request"
)

const (
	// defaultSpread is two: one more than the object needs, for when the first
	// has no room. Answers in time while the arrivals double (experiment
	// placement, seed 1): 0.69 with one, 0.83 with two, 0.80 with three, 0.35
	// with all twelve.
	defaultSpread = 2
	// reportLife is the time in which a report of other hosts' load fades to
	// a third, a few times the usual work of a request.
	reportLife = time.Second
	// shedLife is how long a backend server that refused a request for want
	// of room counts as full.
	shedLife = 200 * time.Millisecond
	// A request that runs overdueFactor times as long as is usual, and no less
	// than overdueLeast, tells that its backend server is in trouble.
	overdueFactor = 4
	overdueLeast  = 400 * time.Millisecond
	// usualSamples is over how many answers the usual time is taken.
	usualSamples = 50
)

// server is what this host knows of one backend server.
type server struct {
	backend backend.Backend
	running []flight  // requests of this host
	others  float64   // requests of other hosts, when last reported
	seen    time.Time // when that was
	full    time.Time // until when it counts as full
	cold    time.Time // until when it is cold
	sent    []time.Time
}

// flight is a request on its way.
type flight struct {
	id, route string
	since     time.Time
}

type candidate struct {
	server *server
	score  float64
}

// load estimates the requests that run or wait there.
func (s *server) load(now time.Time) float64 {
	return float64(len(s.running)) + s.others*decay(now.Sub(s.seen))
}

func (s *server) report(total int, now time.Time) {
	// The answer is that of a request which is still counted here.
	s.others = max(float64(total-len(s.running)+1), 0)
	s.seen = now
}

func (s *server) shed(now time.Time) {
	s.full = now.Add(shedLife)
}

func (s *server) take(r *request.Request, now time.Time) {
	s.running = append(s.running, flight{id: r.ID, route: r.Route, since: now})
	if s.cold.After(now) {
		s.sent = append(s.sent, now)
	}
}

// end takes a request out and returns since when it ran.
func (s *server) end(r *request.Request) (time.Time, bool) {
	for i, f := range s.running {
		if f.id == r.ID {
			s.running = append(s.running[:i], s.running[i+1:]...)
			return f.since, true
		}
	}
	return time.Time{}, false
}

// overdue reports whether a request runs there for much longer than is usual on
// its route: the backend server is slow or silent, or has a line that no report
// has told of yet.
func (p *Placement) overdue(s *server, now time.Time) bool {
	for _, f := range s.running {
		u, ok := p.usual[f.route]
		if ok && now.Sub(f.since) > max(overdueFactor*u, overdueLeast) {
			return true
		}
	}
	return false
}

// learn keeps the usual time of a route's requests.
func (p *Placement) learn(route string, d time.Duration) {
	if p.usual == nil {
		p.usual = make(map[string]time.Duration)
	}
	u, ok := p.usual[route]
	if !ok {
		u = d
	}
	p.usual[route] = u + (d-u)/usualSamples
}

// paced reports whether a cold backend server may get one more request.
func (s *server) paced(part int, now time.Time) bool {
	var ok bool
	s.sent, ok = coldpace.Allow(s.sent, part, now)
	return ok
}

// choose returns the first candidate with a free slot, or else the one that
// will be free soonest, as far as the request's rank lets it wait there.
func (p *Placement) choose(c []candidate, r *request.Request, now time.Time) *server {
	n := p.Spread
	if n == 0 {
		n = defaultSpread
	}
	c = c[:min(len(c), n)]
	for _, v := range c {
		if s := v.server; !s.full.After(now) && !p.overdue(s, now) && s.load(now) < float64(s.backend.Slots) {
			return s
		}
	}
	var m *server
	l := 1 + line(r.Priority)
	for _, v := range c {
		s := v.server
		if u := (s.load(now) + 1) / float64(s.backend.Slots); !s.full.After(now) && !p.overdue(s, now) && u <= l {
			m, l = s, u
		}
	}
	return m
}

// line is how many requests may wait before each slot of a backend server, by
// rank. Under overload the lines of the less urgent fill first, so that they
// are refused while the more urgent still find room. Answers in time of the least
// urgent while arrivals double (experiment placement, seed 1): 0.80 without a
// line, 0.83 with 0.4, 0.30 with 2, where all wait so long that they are late.
func line(priority int) float64 {
	switch priority {
	case 0:
		return 1
	case 1:
		return 0.7
	default:
		return 0.4
	}
}
