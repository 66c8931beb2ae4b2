// Package placement chooses the backend server of a request: the one that has
// its object, as long as that one has room.
package placement

import (
	"math"
	"sort"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/backendlimit"
	"celeryreach.example/celeryreach/binding"
	"celeryreach.example/celeryreach/coldpace"
	"celeryreach.example/celeryreach/deadline"
	"celeryreach.example/celeryreach/outlier"
	"celeryreach.example/celeryreach/rendezvous"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/result"
)

const (
	// consecutive failures take a backend server out of use; a first ejection
	// lasts as long as a crashed one usually needs to start anew.
	consecutive = 3
	ejection    = time.Second
	// ejected is the greatest part of a service's backend servers that is out
	// of use for failures. When more fail, the cause is elsewhere.
	ejected = 0.5
)

// Placement knows the load of the backend servers as far as this host can see
// it: its own requests, and what answers report of all hosts' requests.
type Placement struct {
	// Clock measures the age of reports.
	Clock clockwork.Clock
	// Log receives one line for each backend server that is ejected, and for each
	// change of what bound requests leave of a region; nil means none.
	Log *log.Logger
	// Region is the region of this host.
	Region string
	// Far is the weight of a backend server in another region, relative to one
	// in this region. Most objects then stay near, and a region with few
	// backend servers gives a part of its objects, always the same, to others.
	Far float64
	// Spread is on how many backend servers an object may be at a time; zero
	// means 2. When they are full, its requests are refused: sent to any other,
	// they would take several times the work there, which would soon be full as
	// well.
	Spread int
	// Eager takes the first free slot, and lets requests wait anywhere, whatever a
	// backend server knows. It is there for comparisons.
	Eager bool
	// Line is how many requests of a rank may wait before each slot of a backend
	// server; nil means 1.2, 0.8 and 0.45 of ranks 0, 1 and the others.
	Line func(priority int) float64
	// Pace divides what cold backend servers bear.
	Pace *coldpace.Coldpace
	// Limit holds backend servers that name a limit to it; nil means that none does.
	Limit *backendlimit.Backendlimit
	// Rate returns what a cold backend server of a service bears, in requests
	// per second.
	Rate func(service string) (perSecond float64, warmUp time.Duration)

	mu       sync.Mutex
	servers  map[string]*server
	services map[string]*group
	freed    chan struct{}
	usual    map[string]time.Duration // the usual time of a route's requests
}

// group is the backend servers of one service.
type group struct {
	servers []*server
	names   []string
	outlier outlier.Outlier
	binding binding.Binding
}

// Set replaces the backend servers that may be used. What is known of those
// that stay is kept.
func (p *Placement) Set(l []backend.Backend, cold func(name string) time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o, g := p.servers, p.services
	p.servers = make(map[string]*server)
	p.services = make(map[string]*group)
	for _, b := range l {
		s := o[b.Name]
		if s == nil || s.backend.Started != b.Started || s.backend.Address != b.Address {
			s = newServer()
		}
		s.backend = b
		s.cold = deadline.Later(s.cold, cold(b.Name))
		p.servers[b.Name] = s
		v := p.services[b.Service]
		if v == nil {
			v = g[b.Service].renew()
			v.binding.Changed = func(region string, left float64) { p.tellLeft(b.Service, region, left) }
			p.services[b.Service] = v
		}
		v.servers = append(v.servers, s)
		v.names = append(v.names, b.Name)
	}
	for _, v := range p.services {
		v.fit()
	}
	p.wake()
}

// renew returns a group without backend servers that knows what this one does; nil
// knows nothing.
func (g *group) renew() *group {
	if g == nil {
		return &group{outlier: outlier.Outlier{Consecutive: consecutive, For: ejection, Fraction: ejected}}
	}
	return &group{outlier: g.outlier, binding: g.binding}
}

// tellLeft logs that requests which may go anywhere use more or less of a region.
func (p *Placement) tellLeft(service, region string, left float64) {
	if p.Log != nil {
		p.Log.Info("region left to free requests", "Service", service, "Region", region, "Part", left)
	}
}

// fit tells which regions the service has backend servers in.
func (g *group) fit() {
	g.binding.Fit(g.slots())
}

// slots returns the slots of the service by region.
func (g *group) slots() map[string]int {
	n := make(map[string]int)
	for _, s := range g.servers {
		n[s.backend.Region] += s.backend.Slots
	}
	return n
}

// Slots returns the slots of a service by region.
func (p *Placement) Slots(service string) map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.services[service]
	if g == nil {
		return nil
	}
	return g.slots()
}

// Count takes a request for one that has come. It is called once for each, however
// often it then has to wait or is tried anew.
func (p *Placement) Count(r *request.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if g := p.services[r.Service.Name]; g != nil {
		g.binding.Count(r.Homes, p.Clock.Now())
	}
}

// Take chooses a backend server for r and counts r there until Release. Wait
// tells that one may have room soon; without it there is none at all.
func (p *Placement) Take(r *request.Request) (b backend.Backend, ok, wait bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.services[r.Service.Name]
	if g == nil {
		return backend.Backend{}, false, false
	}
	n := p.Clock.Now()
	c := p.places(p.candidates(g, r, n))
	s := p.choose(c, r, n)
	if s == nil {
		return backend.Backend{}, false, len(c) > 0
	}
	r.Trail.Add(n, "request placed", "Backend", s.backend.Name, "Load", s.load(n), "Slots", s.backend.Slots,
		"ReportAge", n.Sub(s.seen), "Known", s.knows(r), "Candidates", len(c), "Cold", s.cold.After(n))
	s.take(r, n, !s.knows(r))
	s.learn(r)
	if p.Limit != nil {
		p.Limit.Spend(s.backend)
	}
	return s.backend, true, false
}

// Again returns in which time the first of the backend servers that r may go to gets a
// request, by its limit or by a permit; zero if that is not what keeps r.
func (p *Placement) Again(r *request.Request) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.services[r.Service.Name]
	if g == nil {
		return 0
	}
	n := p.Clock.Now()
	var d time.Duration
	for _, c := range p.reachable(p.candidates(g, r, n)) {
		u := c.server.denied.Sub(n)
		if p.Limit != nil {
			u = max(u, p.Limit.Until(c.server.backend))
		}
		if u > 0 && (d == 0 || u < d) {
			d = u
		}
	}
	return d
}

// Freed returns a channel that is closed when a backend server may have got
// room.
func (p *Placement) Freed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.freed == nil {
		p.freed = make(chan struct{})
	}
	return p.freed
}

// Deny ends a request that Take counted and that is not sent, as there is no permit. The
// backend server gets nothing of this host for a while.
func (p *Placement) Deny(name string, q *request.Request, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[name]
	if s == nil {
		return
	}
	s.denied = p.Clock.Now().Add(d)
	if f, ok := s.end(q); ok && f.learned {
		s.forget(q)
	}
}

// Report takes what a backend server said of itself in an answer.
func (p *Placement) Report(name string, running, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[name]; s != nil {
		s.report(running+waiting, p.Clock.Now())
	}
}

// Release ends a request that Take counted.
func (p *Placement) Release(name string, q *request.Request, r result.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[name]
	if s == nil {
		return
	}
	if f, ok := s.end(q); ok {
		p.ended(s, q.Route, p.Clock.Since(f.since), r)
	}
	switch r {
	case result.Shed, result.Refused, result.Failed, result.Unused:
		s.forget(q)
	case result.Succeeded, result.Canceled:
	}
	p.judge(s, r, p.Clock.Now())
	p.wake()
}

// ended learns from how long a request was at a backend server. One that was canceled
// tells as well: where lines are so long that time runs out, few others end.
func (p *Placement) ended(s *server, route string, d time.Duration, r result.Result) {
	if r == result.Succeeded {
		p.learn(route, d)
	}
	if (r == result.Succeeded || r == result.Canceled) && !p.Eager {
		s.last(d)
	}
}

// judge takes backend servers that fail out of use for a while.
func (p *Placement) judge(s *server, r result.Result, now time.Time) {
	g := p.services[s.backend.Service]
	switch r {
	case result.Succeeded:
		g.outlier.Succeed(s.backend.Name)
	case result.Shed:
		s.shed(now)
		if s.load(now) < float64(s.backend.Slots) {
			// It refuses though it has room: its word on itself is wrong.
			p.fail(g, s, now)
		}
	case result.Failed, result.Refused:
		p.fail(g, s, now)
		if r == result.Refused {
			// It may be about to start anew, and is cold then.
			_, w := p.Rate(s.backend.Service)
			s.cold = deadline.Later(s.cold, now.Add(w+ejection))
		}
	case result.Canceled, result.Unused:
	}
}

func (p *Placement) fail(g *group, s *server, now time.Time) {
	t, ok := g.outlier.Fail(s.backend.Name, g.names, now)
	if ok && p.Log != nil {
		p.Log.Warn("backend server ejected", "Backend", s.backend.Name, "Service", s.backend.Service, "For", t.Sub(now))
	}
}

// candidates returns the backend servers that r may go to, in the order in which
// its object prefers them.
func (p *Placement) candidates(g *group, r *request.Request, now time.Time) []candidate {
	q, _ := p.Rate(r.Service.Name)
	k := r.Service.Name + "\x00" + r.Object
	if r.Object == "" {
		k = r.ID
	}
	var c []candidate
	for _, s := range g.servers {
		b := s.backend
		if r.Homes != nil && !r.Homes(b.Region) || r.Tried.Has(b.Name) {
			continue
		}
		w := float64(b.Slots) * g.binding.Left(b.Region)
		if b.Region != p.Region {
			w *= p.Far
		}
		c = append(c, candidate{
			server: s, score: rendezvous.Score(k, b.Name, w),
			denied: s.denied.After(now),
			resting: g.outlier.Ejected(b.Name, now) || s.denied.After(now) || s.cold.After(now) && !s.paced(p.Pace.Part(b.Name, q), now) ||
				p.Limit != nil && !p.Limit.Allow(b),
		})
	}
	sort.Slice(c, func(i, j int) bool { return c[i].score > c[j].score })
	for i := range c {
		c[i].place = i
	}
	return c
}

func (p *Placement) wake() {
	if p.freed != nil {
		close(p.freed)
		p.freed = nil
	}
}

// decay is what is left of a report after some time: requests that others had
// there have ended meanwhile.
func decay(age, life time.Duration) float64 {
	return math.Exp(-float64(age) / float64(life))
}
