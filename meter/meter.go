// Package meter counts the requests and look-ups of a host for the planner.
package meter

import (
	"sync"
	"time"

	"celeryreach.example/celeryreach/wire"
)

// Meter holds counters that start at zero with the process and only grow.
// Readers of heartbeats compute differences of counters, so a lost heartbeat
// loses no counts.
type Meter struct {
	mu      sync.Mutex
	loads   map[string]*wire.Load
	lookups map[lookupOrigin]uint64
}

type lookupOrigin struct {
	service, region string
}

// CountRequest counts one request that was run or refused. The duration d is that of a
// successful answer; it is ignored if failed is set.
func (m *Meter) CountRequest(service string, d time.Duration, failed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.loads == nil {
		m.loads = make(map[string]*wire.Load)
	}
	l := m.loads[service]
	if l == nil {
		l = &wire.Load{Service: service}
		m.loads[service] = l
	}
	if failed {
		l.Failures++
		return
	}
	l.Answers++
	l.AnswerNanoseconds += uint64(max(d, 0))
}

// CountLookup counts one look-up of a service by a caller whose home is a region.
func (m *Meter) CountLookup(service, region string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lookups == nil {
		m.lookups = make(map[lookupOrigin]uint64)
	}
	m.lookups[lookupOrigin{service: service, region: region}]++
}

// AddTo adds the counters to a heartbeat that already has its loads.
func (m *Meter) AddTo(h *wire.Heartbeat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range h.Loads {
		if c := m.loads[l.Service]; c != nil {
			l.Answers = c.Answers
			l.Failures = c.Failures
			l.AnswerNanoseconds = c.AnswerNanoseconds
		}
	}
	for o, n := range m.lookups {
		h.Origins = append(h.Origins, &wire.Origin{Service: o.service, Region: o.region, Lookups: n})
	}
}
