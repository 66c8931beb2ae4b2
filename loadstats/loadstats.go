// Package loadstats derives observations of load from the counts in hosts' heartbeats.
package loadstats

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/observation"
	"celeryreach.example/celeryreach/wire"
)

// sampleInterval is the minimum time between two retained heartbeats of a host.
const sampleInterval = time.Second

// Loadstats retains the heartbeats of a recent window. Slots and busy requests are
// counted by the hosts themselves, not reported by backend servers.
type Loadstats struct {
	// Clock measures the age of heartbeats.
	Clock clockwork.Clock
	// Window is the period over which responses and failures are counted.
	Window time.Duration
	// Timeout is the time without heartbeats after which a host's counts are excluded.
	Timeout time.Duration

	mu    sync.Mutex
	hosts map[string]*hostProcess
}

// hostProcess holds the heartbeats of one process of a host.
type hostProcess struct {
	incarnation  uint64
	region       string
	lastReceived time.Time
	latest       *wire.Heartbeat
	samples      []sample
}

type sample struct {
	at        time.Time
	heartbeat *wire.Heartbeat
}

// Record records a heartbeat of a peer or of this host. The heartbeat must not be
// modified afterwards.
func (g *Loadstats) Record(h *wire.Heartbeat) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.hosts == nil {
		g.hosts = make(map[string]*hostProcess)
	}
	s := g.hosts[h.From.Name]
	if s == nil || s.incarnation != h.From.Incarnation {
		s = &hostProcess{incarnation: h.From.Incarnation, region: h.From.Region}
		g.hosts[h.From.Name] = s
	}
	n := g.Clock.Now()
	s.lastReceived = n
	s.latest = h
	if k := len(s.samples); k == 0 || n.Sub(s.samples[k-1].at) >= sampleInterval {
		s.samples = append(s.samples, sample{at: n, heartbeat: h})
	}
	for len(s.samples) > 1 && n.Sub(s.samples[1].at) >= g.Window {
		s.samples = s.samples[1:]
	}
}

// Observe returns one observation for each service and region.
func (g *Loadstats) Observe(services, regions []string) []observation.Observation {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := g.Clock.Now()
	for k, s := range g.hosts {
		if n.Sub(s.lastReceived) > g.Timeout {
			delete(g.hosts, k)
		}
	}
	var r []observation.Observation
	for _, v := range services {
		q := g.lookups(v)
		t := 0.0
		for _, x := range q {
			t += x
		}
		for _, x := range regions {
			o := g.observe(v, x)
			if t > 0 {
				o.Callers = q[x] / t
			}
			r = append(r, o)
		}
	}
	return r
}

// lookups returns the number of look-ups by a service's callers within the window, by
// home region.
func (g *Loadstats) lookups(service string) map[string]float64 {
	r := make(map[string]float64)
	for _, s := range g.hosts {
		f := make(map[string]uint64)
		for _, o := range s.samples[0].heartbeat.Origins {
			if o.Service == service {
				f[o.Region] = o.Lookups
			}
		}
		for _, o := range s.latest.Origins {
			if o.Service == service {
				r[o.Region] += float64(o.Lookups - f[o.Region])
			}
		}
	}
	return r
}

// observe sums the counts of the hosts in a region for one service.
func (g *Loadstats) observe(service, region string) observation.Observation {
	o := observation.Observation{Service: service, Region: region}
	var a, f, t uint64
	for _, s := range g.hosts {
		if s.region != region {
			continue
		}
		o.Alive = true
		l, b := findLoad(s.latest, service), findLoad(s.samples[0].heartbeat, service)
		o.Slots += int(l.GetSlots())
		o.Demand += float64(l.GetBusy()) + float64(l.GetWaiting())
		a += l.GetAnswers() - b.GetAnswers()
		f += l.GetFailures() - b.GetFailures()
		t += l.GetAnswerNanoseconds() - b.GetAnswerNanoseconds()
	}
	if a > 0 {
		o.Latency = time.Duration(t / a)
	}
	if a+f > 0 {
		o.Failures = float64(f) / float64(a+f)
	}
	return o
}

// findLoad returns the load of a service in a heartbeat, nil if it has none.
func findLoad(h *wire.Heartbeat, service string) *wire.Load {
	for _, l := range h.GetLoads() {
		if l.Service == service {
			return l
		}
	}
	return nil
}
