// Package gauge makes observations from what hosts count.
package gauge

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/observation"
	"celeryreach.example/celeryreach/wire"
)

// sampleEvery is the least time between two kept heartbeats of a host.
const sampleEvery = time.Second

// Gauge keeps the heartbeats of a short time. Slots and busy requests are the
// hosts' own counts, not what backend servers report of themselves.
type Gauge struct {
	// Clock ages the heartbeats.
	Clock clockwork.Clock
	// Window is the time over which answers and failures are counted.
	Window time.Duration
	// Hold is the silence after which a host's counts are left out.
	Hold time.Duration

	mu    sync.Mutex
	hosts map[string]*source
}

// source is one process of a host.
type source struct {
	incarnation uint64
	region      string
	heard       time.Time
	last        *wire.Heartbeat
	samples     []sample
}

type sample struct {
	at   time.Time
	beat *wire.Heartbeat
}

// Note takes a heartbeat, a peer's or the own one. It must not change
// afterwards.
func (g *Gauge) Note(h *wire.Heartbeat) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.hosts == nil {
		g.hosts = make(map[string]*source)
	}
	s := g.hosts[h.From.Name]
	if s == nil || s.incarnation != h.From.Incarnation {
		s = &source{incarnation: h.From.Incarnation, region: h.From.Region}
		g.hosts[h.From.Name] = s
	}
	n := g.Clock.Now()
	s.heard = n
	s.last = h
	if k := len(s.samples); k == 0 || n.Sub(s.samples[k-1].at) >= sampleEvery {
		s.samples = append(s.samples, sample{at: n, beat: h})
	}
	for len(s.samples) > 1 && n.Sub(s.samples[1].at) >= g.Window {
		s.samples = s.samples[1:]
	}
}

// Observe returns one observation for each service and region.
func (g *Gauge) Observe(services, regions []string) []observation.Observation {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := g.Clock.Now()
	for k, s := range g.hosts {
		if n.Sub(s.heard) > g.Hold {
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
			o := g.sum(v, x)
			if t > 0 {
				o.Callers = q[x] / t
			}
			r = append(r, o)
		}
	}
	return r
}

// lookups returns the recent look-ups of a service's callers by home region.
func (g *Gauge) lookups(service string) map[string]float64 {
	r := make(map[string]float64)
	for _, s := range g.hosts {
		f := make(map[string]uint64)
		for _, o := range s.samples[0].beat.Origins {
			if o.Service == service {
				f[o.Region] = o.Lookups
			}
		}
		for _, o := range s.last.Origins {
			if o.Service == service {
				r[o.Region] += float64(o.Lookups - f[o.Region])
			}
		}
	}
	return r
}

func (g *Gauge) sum(service, region string) observation.Observation {
	o := observation.Observation{Service: service, Region: region}
	var a, f, t uint64
	for _, s := range g.hosts {
		if s.region != region {
			continue
		}
		o.Alive = true
		l, b := load(s.last, service), load(s.samples[0].beat, service)
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

func load(h *wire.Heartbeat, service string) *wire.Load {
	for _, l := range h.GetLoads() {
		if l.Service == service {
			return l
		}
	}
	return nil
}
