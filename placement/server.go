package placement

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/coldpace"
	"celeryreach.example/celeryreach/request"
)

const (
	// A report of other hosts' load fades to a third in reportLives times the time
	// that requests last at the backend server, and no less than leastLife. Until
	// then most of the requests that it counted are still there.
	reportLives = 3
	leastLife   = time.Second
	// lifeSamples is over how many requests that time is taken.
	lifeSamples = 16
	// shedLife is how long a backend server that refused a request for want
	// of room counts as full.
	shedLife = 200 * time.Millisecond
	// A request that runs overdueFactor times as long as is usual, and no less
	// than overdueLeast, tells that its backend server is in trouble.
	overdueFactor = 4
	overdueLeast  = 400 * time.Millisecond
	// keptObjects is how many objects of a backend server are remembered here.
	// Today's backend servers keep 26 to 64.
	keptObjects = 64
	// usualSamples is over how many answers the usual time is taken.
	usualSamples = 50
)

// server is what this host knows of one backend server.
type server struct {
	backend backend.Backend
	running []flight      // requests of this host
	others  float64       // requests of other hosts, when last reported
	seen    time.Time     // when that was
	lasting time.Duration // how long requests of this host last there, waits included
	full    time.Time     // until when it counts as full
	cold    time.Time     // until when it is cold
	denied  time.Time     // until when there is no permit to send it anything
	sent    []time.Time
	// objects are those that it has lately worked on for this host.
	objects *simplelru.LRU[string, struct{}]
}

func newServer() *server {
	l, err := simplelru.NewLRU[string, struct{}](keptObjects, nil)
	if err != nil {
		panic(err) // the size is a constant above zero
	}
	return &server{objects: l}
}

// flight is a request on its way.
type flight struct {
	id, route string
	since     time.Time
	learned   bool // its object was not known there before
}

// candidate is a backend server that a request may go to.
type candidate struct {
	server  *server
	score   float64
	place   int  // how many others the object prefers
	resting bool // it gets nothing for a moment
	denied  bool // there is no permit for it
}

// load estimates the requests that run or wait there.
func (s *server) load(now time.Time) float64 {
	return float64(len(s.running)) + s.others*decay(now.Sub(s.seen), max(reportLives*s.lasting, leastLife))
}

// last notes how long a request was there. A backend server with long work, or with
// a long line, is as full as it said for longer; by a report that fades too soon each
// host would send it more, and all that waits there would run out of time.
func (s *server) last(d time.Duration) {
	if s.lasting == 0 {
		s.lasting = d
	}
	s.lasting += (d - s.lasting) / lifeSamples
}

func (s *server) report(total int, now time.Time) {
	// The answer is that of a request which is still counted here.
	s.others = max(float64(total-len(s.running)+1), 0)
	s.seen = now
}

// knows reports whether the backend server has lately worked on the object of r,
// as far as this host can tell. Most of an object's requests come through the few
// hosts of one region.
func (s *server) knows(r *request.Request) bool {
	return r.Object == "" || s.objects.Contains(objectOf(r))
}

// learn notes that the backend server works on the object of r. From the start of
// the first request on, others for the object are done as fast as later ones.
func (s *server) learn(r *request.Request) {
	if r.Object != "" {
		s.objects.Add(objectOf(r), struct{}{})
	}
}

// forget notes that the backend server has not worked on the object of r, or not to
// an end.
func (s *server) forget(r *request.Request) {
	s.objects.Remove(objectOf(r))
}

// objectOf names the object of a request: services have objects of their own.
func objectOf(r *request.Request) string {
	return r.Service.Name + "\x00" + r.Object
}

func (s *server) shed(now time.Time) {
	s.full = now.Add(shedLife)
}

func (s *server) take(r *request.Request, now time.Time, learned bool) {
	s.running = append(s.running, flight{id: r.ID, route: r.Route, since: now, learned: learned})
	if s.cold.After(now) {
		s.sent = append(s.sent, now)
	}
}

// end takes a request out.
func (s *server) end(r *request.Request) (flight, bool) {
	for i, f := range s.running {
		if f.id == r.ID {
			s.running = append(s.running[:i], s.running[i+1:]...)
			return f, true
		}
	}
	return flight{}, false
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
