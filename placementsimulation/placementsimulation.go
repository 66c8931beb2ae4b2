// Package placementsimulation simulates backend servers that are faster on cached
// objects, under loads at which caching decides whether answers are in time. It
// compares placement policies on the same arrivals.
package placementsimulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/coldrate"
	"celeryreach.example/celeryreach/homes"
	"celeryreach.example/celeryreach/placement"
	"celeryreach.example/celeryreach/rendezvous"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/result"
	"celeryreach.example/celeryreach/service"
	"celeryreach.example/celeryreach/timeline"
)

// The simulated service resembles an image gallery. The constants set the duration of its
// requests, the number of its objects, and how much faster a backend server handles a
// cached object.
const (
	hostCount        = 8
	serverCount      = 12
	slotsPerServer   = 5
	maxQueue         = 3 * slotsPerServer
	cacheSize        = 32
	objectCount      = 31
	uncachedDuration = 640 * time.Millisecond
	cachedFactor     = 0.3
	// arrivalsPerSecond is half the capacity of the backend servers when all objects are
	// cached, and 1.7 times their capacity when none are.
	arrivalsPerSecond = 160
	latencyObjective  = 400 * time.Millisecond
	requestTimeout    = 3 * time.Second
	// faultStart and faultEnd delimit the fault.
	faultStart = 5 * time.Second
	faultEnd   = 12 * time.Second
	// slowServerFactor multiplies the duration of requests at a slow backend server.
	slowServerFactor = 6
	// restrictedFraction is the fraction of the requests that must be served in the
	// first region.
	restrictedFraction = 0.55
	// remoteWeight is the weight of other regions, the same as in production hosts.
	remoteWeight = 0.15
)

// Window is the length of the intervals by which requests are counted.
const Window = 2 * time.Second

// Placement policies.
const (
	// Current is package placement as hosts use it.
	Current = "product"
	// Eager is package placement without regard to cached objects, as in an earlier
	// version.
	Eager = "eager"
	// Anywhere is package placement with no bound on the backend servers of an object,
	// as in an earlier version.
	Anywhere = "anywhere"
	// Affinity sends each object to one backend server regardless of its load.
	Affinity = "affinity"
	// LeastLoaded picks the backend server with the fewest active requests of the host.
	LeastLoaded = "least-loaded"
	// Random picks a random backend server.
	Random = "random"
)

// Kinds of fault.
const (
	// Calm has no fault but the start, when no object is cached.
	Calm = "calm"
	// Lost takes five of twelve backend servers down for some seconds.
	Lost = "lost"
	// Short takes five of twelve backend servers down from the start: no object is
	// cached, and there are few free slots in which to cache them.
	Short = "short"
	// Slow makes two backend servers slow for some seconds.
	Slow = "slow"
	// Burst doubles the arrivals for some seconds.
	Burst = "burst"
	// Restricted restricts a large account to one region for the whole run. The account
	// has callers everywhere and sends more than half of the requests; the region has a
	// third of the backend servers.
	Restricted = "bound"
)

// Placementsimulation is one run of the simulation.
type Placementsimulation struct {
	// Seed seeds the random arrivals, which are the same for all policies.
	Seed uint64
	// Duration is the simulated time.
	Duration time.Duration
	// Policy is the placement policy.
	Policy string
	// Fault is the kind of fault. Unless its description states otherwise, it lasts
	// from 5 s to 12 s.
	Fault string
	// Regions is the number of regions with hosts and objects of their own: requests
	// for an object arrive at the hosts of its region. Zero means one.
	Regions int

	schedule       *timeline.Timeline
	random         *rand.Rand
	servers        []*server
	hosts          []*placement.Placement
	activeRequests [hostCount][serverCount]int
	windows        []windowCounts
}

// Run runs the simulation.
func (p *Placementsimulation) Run() {
	p.schedule = timeline.New()
	p.random = rand.New(rand.NewPCG(p.Seed, 1))
	p.windows = make([]windowCounts, int(p.Duration/Window)+1)
	for i := range serverCount {
		p.servers = append(p.servers, &server{index: i, name: fmt.Sprint("server-", i), slowdown: 1})
	}
	for i := range hostCount {
		p.hosts = append(p.hosts, p.newHost(i))
	}
	p.updateHosts()
	p.scheduleArrivals()
	if p.Fault == Short {
		p.setFault(true)
	}
	p.schedule.At(faultStart, func() { p.setFault(true) })
	p.schedule.At(faultEnd, func() { p.setFault(false) })
	p.schedule.Run(func() {})
}

// Timely returns the fraction of the requests arriving between two times that was answered
// within the latency objective.
func (p *Placementsimulation) Timely(from, to time.Duration) float64 {
	var c windowCounts
	for _, b := range p.windows[from/Window : to/Window] {
		c.total += b.total
		c.timely += b.timely
	}
	return float64(c.timely) / float64(max(c.total, 1))
}

// RestrictedTimely returns the same fraction as Timely, but only of the requests that
// must be served in one region.
func (p *Placementsimulation) RestrictedTimely(from, to time.Duration) float64 {
	var n, t int
	for _, b := range p.windows[from/Window : to/Window] {
		n += b.restricted
		t += b.restrictedTimely
	}
	return float64(t) / float64(max(n, 1))
}

// Report returns a header line and one line for each window.
func (p *Placementsimulation) Report() []string {
	l := []string{"from requests timely late refused failed"}
	for i, b := range p.windows {
		l = append(l, fmt.Sprint(time.Duration(i)*Window, " ", b.total, " ", b.timely, " ", b.late, " ", b.refused, " ", b.failed))
	}
	return l
}

func (p *Placementsimulation) newHost(index int) *placement.Placement {
	h := &placement.Placement{
		Clock: p.schedule.Clock, Region: p.region(index), RemoteWeight: remoteWeight,
		ColdRate:     &coldrate.Coldrate{Self: "a", Hosts: func() []string { return []string{"a"} }, Overage: 1, Slack: 1000},
		ColdCapacity: func(string) (float64, time.Duration) { return 1000, 0 },
	}
	switch p.Policy {
	case Anywhere:
		h.BackendsPerObject, h.IgnoreCache, h.QueueLimit = serverCount, true, shortQueueLimit
	case Eager:
		h.IgnoreCache, h.QueueLimit = true, shortQueueLimit
	}
	return h
}

// region returns the region of the host or backend server with an index. All are in one
// region unless the fault is Restricted.
func (p *Placementsimulation) region(index int) string {
	if p.Fault != Restricted {
		return "here"
	}
	return fmt.Sprint("region-", index%max(p.Regions, 1))
}

// shortQueueLimit is the queue limit of the earlier versions for priority 2, which all
// simulated requests have.
func shortQueueLimit(int) float64 {
	return 0.4
}

func (p *Placementsimulation) updateHosts() {
	var l []backend.Backend
	for _, s := range p.servers {
		if !s.down {
			l = append(l, backend.Backend{Name: s.name, Service: "gallery", Region: p.region(s.index), Slots: slotsPerServer, Started: int64(s.restarts)})
		}
	}
	for _, h := range p.hosts {
		h.Set(l, func(string) time.Time { return time.Time{} })
	}
}

func (p *Placementsimulation) scheduleArrivals() {
	n := 0
	for t := time.Duration(0); t < p.Duration; {
		r := float64(arrivalsPerSecond)
		if p.Fault == Burst && t >= faultStart && t < faultEnd {
			r *= 2
		}
		t += time.Duration(p.random.ExpFloat64() / r * float64(time.Second))
		n++
		h := p.random.IntN(hostCount)
		v := &simulatedRequest{
			host: h, object: p.randomObject(h), arrivedAt: t,
			workFactor: 0.85 + 0.3*p.random.Float64(), window: &p.windows[min(int(t/Window), len(p.windows)-1)],
			request: &request.Request{ID: fmt.Sprint(n), Route: "view", Priority: 2, Service: service.Service{Name: "gallery"}},
		}
		v.request.Object = fmt.Sprint("object-", v.object)
		p.restrictRegion(v)
		p.schedule.At(t, func() { p.arrive(v) })
	}
}

// restrictRegion decides at random whether a request belongs to the account that is
// restricted to the first region.
func (p *Placementsimulation) restrictRegion(v *simulatedRequest) {
	if p.Fault != Restricted || p.random.Float64() > restrictedFraction {
		return
	}
	v.restricted = true
	v.request.Homes = homes.Intersect([]string{p.region(0)})
}

// randomObject returns a random object of a host's region.
func (p *Placementsimulation) randomObject(host int) int {
	g := max(p.Regions, 1)
	r := host % g
	return r + g*p.random.IntN((objectCount-r+g-1)/g)
}

func (p *Placementsimulation) arrive(v *simulatedRequest) {
	v.window.countArrival(v.restricted)
	p.hosts[v.host].CountArrival(v.request)
	i, ok := p.place(v)
	if !ok {
		v.window.refused++
		return
	}
	s := p.servers[i]
	p.activeRequests[v.host][i]++
	switch {
	case s.down, s.running == slotsPerServer && len(s.waiting) == maxQueue:
		p.release(v, s, result.Shed)
		v.window.refused++
	case s.running < slotsPerServer:
		p.start(v, s)
	default:
		s.waiting = append(s.waiting, v)
	}
}

// place chooses a backend server by the policy of this run.
func (p *Placementsimulation) place(v *simulatedRequest) (int, bool) {
	switch p.Policy {
	case Current, Eager, Anywhere:
		b, ok, _ := p.hosts[v.host].Acquire(v.request)
		if !ok {
			return 0, false
		}
		for _, s := range p.servers {
			if s.name == b.Name {
				return s.index, true
			}
		}
	case Affinity:
		return p.highestScore(v, func(s *server) float64 { return rendezvous.Uniform(v.request.Object, s.name) })
	case LeastLoaded:
		return p.highestScore(v, func(s *server) float64 { return -float64(p.activeRequests[v.host][s.index]) + p.random.Float64() })
	}
	return p.highestScore(v, func(*server) float64 { return p.random.Float64() })
}

func (p *Placementsimulation) highestScore(v *simulatedRequest, score func(s *server) float64) (int, bool) {
	m, b := -1, 0.0
	for _, s := range p.servers {
		if s.down || !v.request.Homes.Allows(p.region(s.index)) {
			continue
		}
		if x := score(s); m < 0 || x > b {
			m, b = s.index, x
		}
	}
	return m, m >= 0
}

func (p *Placementsimulation) start(v *simulatedRequest, s *server) {
	s.running++
	d := float64(uncachedDuration) * v.workFactor * s.slowdown
	if s.accessObject(v.object) {
		d *= cachedFactor
	}
	n := s.restarts
	p.schedule.At(p.schedule.Now()+time.Duration(d), func() { p.finish(v, s, n) })
}

func (p *Placementsimulation) finish(v *simulatedRequest, s *server, restarts int) {
	if s.restarts != restarts {
		return // the backend server crashed and lost the request
	}
	s.running--
	p.hosts[v.host].RecordLoad(s.name, s.running, len(s.waiting))
	p.release(v, s, result.Succeeded)
	if d := p.schedule.Now() - v.arrivedAt; d <= latencyObjective {
		v.window.countTimely(v.restricted)
	} else {
		v.window.late++
	}
	for len(s.waiting) > 0 && s.running < slotsPerServer {
		w := s.waiting[0]
		s.waiting = s.waiting[1:]
		if p.schedule.Now()-w.arrivedAt > requestTimeout {
			w.window.failed++
			p.release(w, s, result.Canceled)
			continue
		}
		p.start(w, s)
	}
}

func (p *Placementsimulation) release(v *simulatedRequest, s *server, r result.Result) {
	p.activeRequests[v.host][s.index]--
	p.hosts[v.host].Release(s.name, v.request, r)
}

// setFault starts or ends the fault.
func (p *Placementsimulation) setFault(on bool) {
	for i, s := range p.servers {
		switch {
		case (p.Fault == Lost || p.Fault == Short) && i < 5:
			if s.down == on {
				continue
			}
			s.down = on
			if on {
				s.crash()
			}
		case p.Fault == Slow && i < 2:
			s.slowdown = 1
			if on {
				s.slowdown = slowServerFactor
			}
		}
	}
	p.updateHosts()
}
