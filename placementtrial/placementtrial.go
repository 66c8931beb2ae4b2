// Package placementtrial simulates backend servers that work faster on objects
// they know, under the loads at which that is decided, and compares ways to
// place requests on the same arrivals.
package placementtrial

import (
	"fmt"
	"math/rand/v2"
	"time"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/coldpace"
	"celeryreach.example/celeryreach/placement"
	"celeryreach.example/celeryreach/rendezvous"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/result"
	"celeryreach.example/celeryreach/service"
	"celeryreach.example/celeryreach/timeline"
)

// The model is of today's gallery service: its work, its objects, and how much
// faster a backend server is on an object that it knows.
const (
	hosts    = 8
	count    = 12
	slots    = 5
	line     = 3 * slots
	keeps    = 32
	objects  = 31
	work     = 640 * time.Millisecond
	warmPart = 0.3
	// perSecond is half of what the backend servers can do when they know all
	// objects, and 1.7 times what they can do when they know none.
	perSecond = 160
	objective = 400 * time.Millisecond
	timeLimit = 3 * time.Second
	// strikes is when the trouble begins and ends when it is over.
	strikes = 5 * time.Second
	ends    = 12 * time.Second
	// slowness is how many times as long a slow backend server works.
	slowness = 6
	// boundPart of the requests must be served in the first of the regions.
	boundPart = 0.55
	// far is the weight of other regions, as hosts have it.
	far = 0.15
)

// Window is the time for which requests are counted together.
const Window = 2 * time.Second

// Ways to place requests.
const (
	// Product is package placement as hosts use it.
	Product = "product"
	// Eager is package placement before it knew which backend servers know an
	// object.
	Eager = "eager"
	// Anywhere is package placement before it bounded the spread of objects.
	Anywhere = "anywhere"
	// Affinity sends each object to one backend server, whatever its load.
	Affinity = "affinity"
	// LeastLoaded goes by each host's own requests.
	LeastLoaded = "least-loaded"
	// Random draws a backend server.
	Random = "random"
)

// Troubles.
const (
	// Calm has no trouble but the start, at which nobody knows any object.
	Calm = "calm"
	// Lost takes five of twelve backend servers away for some seconds.
	Lost = "lost"
	// Short is a start with five of twelve backend servers away for some seconds:
	// nobody knows any object, and there are few free slots to learn them in.
	Short = "short"
	// Slow makes two backend servers slow for some seconds.
	Slow = "slow"
	// Burst doubles the arrivals for some seconds.
	Burst = "burst"
	// Bound lets a large account be served in one region only, all the time. It has
	// callers everywhere and brings more than half of the requests; the region has a
	// third of the backend servers.
	Bound = "bound"
)

// Placementtrial is one run.
type Placementtrial struct {
	// Seed draws the arrivals, which are the same for all ways.
	Seed uint64
	// For is the simulated time.
	For time.Duration
	// Way places the requests.
	Way string
	// Trouble is what happens from 5 s to 12 s.
	Trouble string
	// Regions is how many regions have hosts and objects of their own: callers of
	// an object come through the hosts of its region. Zero means one.
	Regions int

	time    *timeline.Timeline
	random  *rand.Rand
	servers []*server
	hosts   []*placement.Placement
	own     [hosts][count]int
	buckets []bucketCount
}

// Run simulates.
func (p *Placementtrial) Run() {
	p.time = timeline.New()
	p.random = rand.New(rand.NewPCG(p.Seed, 1))
	p.buckets = make([]bucketCount, int(p.For/Window)+1)
	for i := range count {
		p.servers = append(p.servers, &server{index: i, name: fmt.Sprint("server-", i), slow: 1})
	}
	for i := range hosts {
		p.hosts = append(p.hosts, p.host(i))
	}
	p.tellHosts()
	p.arrivals()
	if p.Trouble == Short {
		p.strike(true)
	}
	p.time.At(strikes, func() { p.strike(true) })
	p.time.At(ends, func() { p.strike(false) })
	p.time.Run(func() {})
}

// Timely returns the part of the requests between two times that was answered
// within the objective.
func (p *Placementtrial) Timely(from, to time.Duration) float64 {
	var c bucketCount
	for _, b := range p.buckets[from/Window : to/Window] {
		c.asked += b.asked
		c.timely += b.timely
	}
	return float64(c.timely) / float64(max(c.asked, 1))
}

// BoundTimely is Timely of the requests that must be served in one region.
func (p *Placementtrial) BoundTimely(from, to time.Duration) float64 {
	var n, t int
	for _, b := range p.buckets[from/Window : to/Window] {
		n += b.bound
		t += b.boundTimely
	}
	return float64(t) / float64(max(n, 1))
}

// Report returns a line for each two seconds.
func (p *Placementtrial) Report() []string {
	l := []string{"from asked timely late refused failed"}
	for i, b := range p.buckets {
		l = append(l, fmt.Sprint(time.Duration(i)*Window, " ", b.asked, " ", b.timely, " ", b.late, " ", b.refused, " ", b.failed))
	}
	return l
}

func (p *Placementtrial) host(index int) *placement.Placement {
	h := &placement.Placement{
		Clock: p.time.Clock, Region: p.region(index), Far: far,
		Pace: &coldpace.Coldpace{Self: "a", Hosts: func() []string { return []string{"a"} }, Overage: 1, Slack: 1000},
		Rate: func(string) (float64, time.Duration) { return 1000, 0 },
	}
	switch p.Way {
	case Anywhere:
		h.Spread, h.Eager, h.Line = count, true, shortLine
	case Eager:
		h.Eager, h.Line = true, shortLine
	}
	return h
}

// region is that of a host or backend server; all are in one but for Bound.
func (p *Placementtrial) region(index int) string {
	if p.Trouble != Bound {
		return "here"
	}
	return fmt.Sprint("region-", index%max(p.Regions, 1))
}

// shortLine is the line of the earlier versions; all requests here have rank 2.
func shortLine(int) float64 {
	return 0.4
}

func (p *Placementtrial) tellHosts() {
	var l []backend.Backend
	for _, s := range p.servers {
		if !s.down {
			l = append(l, backend.Backend{Name: s.name, Service: "gallery", Region: p.region(s.index), Slots: slots, Started: int64(s.life)})
		}
	}
	for _, h := range p.hosts {
		h.Set(l, func(string) time.Time { return time.Time{} })
	}
}

func (p *Placementtrial) arrivals() {
	n := 0
	for t := time.Duration(0); t < p.For; {
		r := float64(perSecond)
		if p.Trouble == Burst && t >= strikes && t < ends {
			r *= 2
		}
		t += time.Duration(p.random.ExpFloat64() / r * float64(time.Second))
		n++
		h := p.random.IntN(hosts)
		v := &visit{
			host: h, object: p.object(h), began: t,
			factor: 0.85 + 0.3*p.random.Float64(), bucket: &p.buckets[min(int(t/Window), len(p.buckets)-1)],
			request: &request.Request{ID: fmt.Sprint(n), Route: "view", Priority: 2, Service: service.Service{Name: "gallery"}},
		}
		v.request.Object = fmt.Sprint("object-", v.object)
		p.bind(v)
		p.time.At(t, func() { p.arrive(v) })
	}
}

// bind draws whether a request is one of the account that is bound to a region.
func (p *Placementtrial) bind(v *visit) {
	if p.Trouble != Bound || p.random.Float64() > boundPart {
		return
	}
	v.bound = true
	v.request.Homes = func(r string) bool { return r == p.region(0) }
}

// object draws an object of a host's region.
func (p *Placementtrial) object(host int) int {
	g := max(p.Regions, 1)
	r := host % g
	return r + g*p.random.IntN((objects-r+g-1)/g)
}

func (p *Placementtrial) arrive(v *visit) {
	v.bucket.ask(v.bound)
	p.hosts[v.host].Count(v.request)
	i, ok := p.place(v)
	if !ok {
		v.bucket.refused++
		return
	}
	s := p.servers[i]
	p.own[v.host][i]++
	switch {
	case s.down, s.running == slots && len(s.waiting) == line:
		p.leave(v, s, result.Shed)
		v.bucket.refused++
	case s.running < slots:
		p.begin(v, s)
	default:
		s.waiting = append(s.waiting, v)
	}
}

// place chooses a backend server by the way of this run.
func (p *Placementtrial) place(v *visit) (int, bool) {
	switch p.Way {
	case Product, Eager, Anywhere:
		b, ok, _ := p.hosts[v.host].Take(v.request)
		if !ok {
			return 0, false
		}
		for _, s := range p.servers {
			if s.name == b.Name {
				return s.index, true
			}
		}
	case Affinity:
		return p.best(v, func(s *server) float64 { return rendezvous.Uniform(v.request.Object, s.name) })
	case LeastLoaded:
		return p.best(v, func(s *server) float64 { return -float64(p.own[v.host][s.index]) + p.random.Float64() })
	}
	return p.best(v, func(*server) float64 { return p.random.Float64() })
}

func (p *Placementtrial) best(v *visit, score func(s *server) float64) (int, bool) {
	m, b := -1, 0.0
	for _, s := range p.servers {
		if s.down || v.request.Homes != nil && !v.request.Homes(p.region(s.index)) {
			continue
		}
		if x := score(s); m < 0 || x > b {
			m, b = s.index, x
		}
	}
	return m, m >= 0
}

func (p *Placementtrial) begin(v *visit, s *server) {
	s.running++
	d := float64(work) * v.factor * s.slow
	if s.knows(v.object) {
		d *= warmPart
	}
	n := s.life
	p.time.At(p.time.Now()+time.Duration(d), func() { p.end(v, s, n) })
}

func (p *Placementtrial) end(v *visit, s *server, life int) {
	if s.life != life {
		return // the backend server went down with it
	}
	s.running--
	p.hosts[v.host].Report(s.name, s.running, len(s.waiting))
	p.leave(v, s, result.Succeeded)
	if d := p.time.Now() - v.began; d <= objective {
		v.bucket.answer(v.bound)
	} else {
		v.bucket.late++
	}
	for len(s.waiting) > 0 && s.running < slots {
		w := s.waiting[0]
		s.waiting = s.waiting[1:]
		if p.time.Now()-w.began > timeLimit {
			w.bucket.failed++
			p.leave(w, s, result.Canceled)
			continue
		}
		p.begin(w, s)
	}
}

func (p *Placementtrial) leave(v *visit, s *server, r result.Result) {
	p.own[v.host][s.index]--
	p.hosts[v.host].Release(s.name, v.request, r)
}

// strike begins or ends the trouble.
func (p *Placementtrial) strike(on bool) {
	for i, s := range p.servers {
		switch {
		case (p.Trouble == Lost || p.Trouble == Short) && i < 5:
			if s.down == on {
				continue
			}
			s.down = on
			if on {
				s.crash()
			}
		case p.Trouble == Slow && i < 2:
			s.slow = 1
			if on {
				s.slow = slowness
			}
		}
	}
	p.tellHosts()
}
