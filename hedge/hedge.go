// Package hedge learns when an answer is late enough for a second try.
package hedge

import (
	"sort"
	"sync"
	"time"
)

const (
	samples  = 128
	every    = 16
	quantile = 0.95
)

// Hedge learns the delay of each service from its answers.
type Hedge struct {
	// Initial is the delay before enough answers have been seen.
	Initial time.Duration
	// Least and Most bound the delay. Most is also the time within which a
	// connection that has gone silent is found out.
	Least, Most time.Duration

	mu       sync.Mutex
	services map[string]*service
}

type service struct {
	ring  [samples]time.Duration
	count int
	delay time.Duration
}

// Delay returns the time after which an answer counts as late.
func (h *Hedge) Delay(name string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.services[name]
	if s == nil || s.delay == 0 {
		return h.Initial
	}
	return s.delay
}

// Observe takes the time that an answer needed to begin. The delay is twice
// their 95th percentile: at the percentile itself one request in twenty would
// be sent twice on an ordinary day.
func (h *Hedge) Observe(name string, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.services == nil {
		h.services = make(map[string]*service)
	}
	s := h.services[name]
	if s == nil {
		s = new(service)
		h.services[name] = s
	}
	s.ring[s.count%samples] = d
	s.count++
	if s.count%every != 0 {
		return
	}
	v := append([]time.Duration(nil), s.ring[:min(s.count, samples)]...)
	sort.Slice(v, func(i, j int) bool { return v[i] < v[j] })
	q := v[int(quantile*float64(len(v)-1))]
	s.delay = min(max(2*q, h.Least), h.Most)
}
