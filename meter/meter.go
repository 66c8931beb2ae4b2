// Package meter counts what a host serves, for the planner.
package meter

import (
	"sync"
	"time"

	"celeryreach.example/celeryreach/wire"
)

// Meter counts since the process started: a lost heartbeat loses nothing, and
// a reader takes differences.
type Meter struct {
	mu      sync.Mutex
	served  map[string]*wire.Load
	origins map[origin]uint64
}

type origin struct {
	service, region string
}

// Served counts one request that was run or refused.
func (m *Meter) Served(service string, d time.Duration, failed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.served == nil {
		m.served = make(map[string]*wire.Load)
	}
	l := m.served[service]
	if l == nil {
		l = &wire.Load{Service: service}
		m.served[service] = l
	}
	if failed {
		l.Failures++
		return
	}
	l.Answers++
	l.AnswerNanoseconds += uint64(max(d, 0))
}

// Asked counts one look-up of a service by a caller whose home is a region.
func (m *Meter) Asked(service, region string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.origins == nil {
		m.origins = make(map[origin]uint64)
	}
	m.origins[origin{service: service, region: region}]++
}

// Fill adds the counts to a heartbeat that already has its loads.
func (m *Meter) Fill(h *wire.Heartbeat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range h.Loads {
		if c := m.served[l.Service]; c != nil {
			l.Answers = c.Answers
			l.Failures = c.Failures
			l.AnswerNanoseconds = c.AnswerNanoseconds
		}
	}
	for o, n := range m.origins {
		h.Origins = append(h.Origins, &wire.Origin{Service: o.service, Region: o.region, Lookups: n})
	}
}
