// Package placement chooses the backend server of a request. It prefers one that has
// the request's object cached. A backend server counts as having an object cached if
// it has recently worked on it; further requests for that object are then about three
// times as fast there.
package placement

import (
	"math"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/backendbackoff"
	"celeryreach.example/celeryreach/backendlimit"
	"celeryreach.example/celeryreach/coldrate"
	"celeryreach.example/celeryreach/deadline"
	"celeryreach.example/celeryreach/outlier"
	"celeryreach.example/celeryreach/reachability"
	"celeryreach.example/celeryreach/regionavailability"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/result"
)

const (
	// consecutiveFailures is the number of failures in a row that eject a backend server.
	consecutiveFailures = 3
	// firstEjection is the duration of a first ejection: the time in which a crashed
	// backend server usually restarts.
	firstEjection = time.Second
	// maxEjectedFraction is the greatest fraction of a service's backend servers that
	// is ejected. When more fail, the cause is not in the backend servers.
	maxEjectedFraction = 0.5
)

// Placement chooses backend servers by their load, as far as this host can observe
// it: its own requests, and the requests of all hosts as reported in answers.
type Placement struct {
	// Clock measures the age of reports.
	Clock clockwork.Clock
	// Log receives one line for each backend server that is ejected, and for each
	// change of the fraction of a region that is available to requests which any region
	// may serve; nil disables logging.
	Log *log.Logger
	// Region is the region of this host.
	Region string
	// RemoteWeight is the weight of a backend server in another region, relative to one
	// in this region. With a low weight most objects stay in the region, and a
	// region with few backend servers hands a fixed part of its objects to others.
	RemoteWeight float64
	// BackendsPerObject is the number of backend servers that may serve an object at a time;
	// zero means 2. When they are full, requests for the object are refused: any
	// other backend server would need several times the work and soon be full too.
	BackendsPerObject int
	// IgnoreCache takes the first free slot and lets requests queue anywhere,
	// regardless of cached objects. It serves as a baseline in simulations.
	IgnoreCache bool
	// QueueLimit returns how many requests of a priority may queue for each slot of a
	// backend server; nil means 1.2 for priority 0, 0.8 for 1 and 0.45 for others.
	QueueLimit func(priority int) float64
	// ColdRate computes this host's part of the rate that a cold backend server can
	// handle.
	ColdRate *coldrate.Coldrate
	// Limit enforces the rate limits that backend servers announce; nil means no limits.
	Limit *backendlimit.Backendlimit
	// Backoff holds the times for which backend servers want no requests; nil means none.
	Backoff *backendbackoff.Backendbackoff
	// Reachability holds to which backend servers this host can open connections; nil means
	// all.
	Reachability *reachability.Reachability
	// ReachedByOthers reports whether another host, to which requests can be forwarded,
	// reaches a backend server that this host lost at the given time. Nil means that no
	// requests are forwarded.
	ReachedByOthers func(b backend.Backend, lostAt time.Time) bool
	// ColdCapacity returns the rate that a cold backend server of a service can handle,
	// in requests per second, and how long it stays cold after its start.
	ColdCapacity func(service string) (perSecond float64, warmUp time.Duration)

	mu             sync.Mutex
	servers        map[string]*server
	addresses      map[string]int // how many servers have each address
	pools          map[string]*pool
	freed          chan struct{}
	routeDurations map[string]time.Duration // moving average of the duration of requests, by route
}

// pool holds the backend servers of one service.
type pool struct {
	servers      []*server
	names        []string
	outlier      outlier.Outlier
	availability regionavailability.Regionavailability
}

// Set replaces the list of usable backend servers. The state of backend servers that
// remain in the list is kept unless they restarted or changed their address. The
// function cold returns the time until which a backend server is cold.
func (p *Placement) Set(l []backend.Backend, cold func(name string) time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o, g := p.servers, p.pools
	p.servers = make(map[string]*server)
	p.addresses = make(map[string]int)
	p.pools = make(map[string]*pool)
	for _, b := range l {
		s := o[b.Name]
		if s == nil || s.backend.Started != b.Started || s.backend.Address != b.Address {
			s = newServer()
		}
		s.backend = b
		s.coldUntil = deadline.Later(s.coldUntil, cold(b.Name))
		p.servers[b.Name] = s
		p.addresses[b.Address]++
		v := p.pools[b.Service]
		if v == nil {
			v = g[b.Service].withoutServers()
			v.availability.OnChange = func(region string, left float64) { p.logUnrestrictedPart(b.Service, region, left) }
			p.pools[b.Service] = v
		}
		v.servers = append(v.servers, s)
		v.names = append(v.names, b.Name)
	}
	for _, v := range p.pools {
		v.updateAvailability()
	}
	p.notifyFreed()
}

// withoutServers returns a pool without backend servers that keeps the outlier state
// and the region availability of g; both are empty if g is nil.
func (g *pool) withoutServers() *pool {
	if g == nil {
		return &pool{outlier: outlier.Outlier{MaxConsecutive: consecutiveFailures, Ejection: firstEjection, MaxFraction: maxEjectedFraction}}
	}
	return &pool{outlier: g.outlier, availability: g.availability}
}

// logUnrestrictedPart logs a change of the fraction of a region that is available to
// requests which any region may serve.
func (p *Placement) logUnrestrictedPart(service, region string, left float64) {
	if p.Log != nil {
		p.Log.Info("region left to free requests", "Service", service, "Region", region, "Part", left)
	}
}

// updateAvailability passes the slots of each region to g.availability.
func (g *pool) updateAvailability() {
	g.availability.SetSlots(g.slots())
}

// slots returns the slots of the service by region.
func (g *pool) slots() map[string]int {
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
	g := p.pools[service]
	if g == nil {
		return nil
	}
	return g.slots()
}

// CountArrival records the arrival of a request. It is called once for each request,
// however often the request is queued or retried.
func (p *Placement) CountArrival(r *request.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if g := p.pools[r.Service.Name]; g != nil {
		g.availability.Count(r.Homes, p.Clock.Now())
	}
}

// Acquire chooses a backend server for r and counts r as active there until Release or
// ReleaseUnsent. If ok is false, wait reports whether a backend server may have room soon;
// otherwise none is available at all.
func (p *Placement) Acquire(r *request.Request) (b backend.Backend, ok, wait bool) {
	b, ok, wait, _ = p.AcquireOrForward(r)
	return b, ok, wait
}

// AcquireOrForward is like Acquire. If ok is false, forward reports whether another host
// should send r: one of its preferred backend servers is out of this host's reach only, or
// all that may serve it are out of reach.
func (p *Placement) AcquireOrForward(r *request.Request) (b backend.Backend, ok, wait, forward bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.pools[r.Service.Name]
	if g == nil {
		return backend.Backend{}, false, false, false
	}
	n := p.Clock.Now()
	l := p.candidates(g, r, n)
	c := p.available(r, l)
	s := p.choose(c, r, n)
	if s == nil {
		return backend.Backend{}, false, len(c) > 0, p.needsForward(r, l)
	}
	r.DecisionLog.Add(n, "request placed", "Backend", s.backend.Name, "Region", s.backend.Region,
		"Homes", r.Homes, "HomesVersion", r.HomesVersion, "Load", s.load(n), "Slots", s.backend.Slots,
		"ReportAge", n.Sub(s.reportedAt), "Known", s.hasCached(r), "Candidates", len(c), "Cold", s.coldEnd().After(n))
	s.add(r, n, !s.hasCached(r))
	s.addObject(r)
	if p.Limit != nil {
		p.Limit.RecordSent(s.backend)
	}
	return s.backend, true, false, false
}

// Freed returns a channel that is closed when a backend server may have room again.
func (p *Placement) Freed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.freed == nil {
		p.freed = make(chan struct{})
	}
	return p.freed
}

// ReleaseUnsent ends a request for which Acquire chose a backend server but that was not
// sent, because there is no permit for the duration d or the backend server wants no
// requests.
func (p *Placement) ReleaseUnsent(name string, q *request.Request, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[name]
	if s == nil {
		return
	}
	s.deniedUntil = deadline.Later(s.deniedUntil, p.Clock.Now().Add(d))
	if f, ok := s.remove(q); ok && f.addedObject {
		s.removeObject(q)
	}
}

// RecordLoad records the load that a backend server reported in an answer.
func (p *Placement) RecordLoad(name string, running, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[name]; s != nil {
		s.updateLoad(running+waiting, p.Clock.Now())
	}
}

// Release ends a request for which Acquire chose a backend server.
func (p *Placement) Release(name string, q *request.Request, r result.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[name]
	if s == nil {
		return
	}
	if f, ok := s.remove(q); ok && (r == result.Succeeded || !p.IsLost(s.backend)) {
		p.observeDuration(s, q.Route, p.Clock.Since(f.startedAt), r)
	}
	switch r {
	case result.Shed, result.Refused, result.Failed, result.Unused:
		s.removeObject(q)
	case result.Succeeded, result.Canceled:
	}
	p.recordResult(s, r, p.Clock.Now())
	p.notifyFreed()
}

// observeDuration updates the averages with the duration of a request. Canceled requests
// count for the backend server's average: when its queue is so long that requests time
// out, few requests end in another way.
func (p *Placement) observeDuration(s *server, route string, d time.Duration, r result.Result) {
	if r == result.Succeeded {
		p.updateRouteDuration(route, d)
	}
	if (r == result.Succeeded || r == result.Canceled) && !p.IgnoreCache {
		s.updateDuration(d)
	}
}

// recordResult passes a result to outlier detection, which ejects failing backend servers.
func (p *Placement) recordResult(s *server, r result.Result, now time.Time) {
	g := p.pools[s.backend.Service]
	switch r {
	case result.Succeeded:
		g.outlier.Succeed(s.backend.Name)
		if p.IsLost(s.backend) {
			// The connection is older than the loss, so the process has not restarted.
			s.maybeColdUntil = time.Time{}
		}
	case result.Shed:
		s.markFull(now)
		if s.load(now) < float64(s.backend.Slots) {
			// It refuses requests although it has room by its reported load: the
			// report is wrong.
			p.recordFailure(g, s, now)
		}
	case result.Failed, result.Refused:
		u := p.IsLost(s.backend)
		if !u {
			p.recordFailure(g, s, now)
		}
		if r == result.Refused && (!u || !p.reaches(s.backend)) {
			// It may be restarting and will then be cold.
			_, w := p.ColdCapacity(s.backend.Service)
			s.maybeColdUntil = now.Add(w + firstEjection)
		}
	case result.Canceled, result.Unused:
	}
}

// recordFailure counts a failure, unless the backend server wants no requests: it is sent
// none anyway, and an ejection could keep it unused for longer than it asked.
func (p *Placement) recordFailure(g *pool, s *server, now time.Time) {
	if p.BackedOff(s.backend) {
		return
	}
	t, ok := g.outlier.Fail(s.backend.Name, g.names, now)
	if ok && p.Log != nil {
		p.Log.Warn("backend server ejected", "Backend", s.backend.Name, "Service", s.backend.Service, "For", t.Sub(now))
	}
}

func (p *Placement) notifyFreed() {
	if p.freed != nil {
		close(p.freed)
		p.freed = nil
	}
}

// decay returns the weight of a load report of some age: the requests of other hosts
// that it counted end over time.
func decay(age, life time.Duration) float64 {
	return math.Exp(-float64(age) / float64(life))
}
