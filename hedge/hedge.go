// Package hedge determines when a response is late enough for a second attempt.
package hedge

import (
	"sort"
	"sync"
	"time"
)

const (
	maxSamples = 128
	// updateInterval is the number of observations between updates of the delay.
	updateInterval = 16
	quantile       = 0.95
)

// Hedge derives a delay for each service from the latency of its responses.
type Hedge struct {
	// Initial is the delay before enough responses have been observed.
	Initial time.Duration
	// Min and Max limit the delay. Max is also the time within which a connection
	// that has gone silent is detected.
	Min, Max time.Duration

	mu     sync.Mutex
	delays map[string]*serviceDelay
}

type serviceDelay struct {
	ring  [maxSamples]time.Duration
	count int
	delay time.Duration
}

// Delay returns the time after which a response counts as late.
func (h *Hedge) Delay(name string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.delays[name]
	if s == nil || s.delay == 0 {
		return h.Initial
	}
	return s.delay
}

// Observe records the time until the header of a response arrived. The delay is twice
// the 95th percentile of these times: the percentile itself would send one request in
// twenty twice under normal conditions.
func (h *Hedge) Observe(name string, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.delays == nil {
		h.delays = make(map[string]*serviceDelay)
	}
	s := h.delays[name]
	if s == nil {
		s = new(serviceDelay)
		h.delays[name] = s
	}
	s.ring[s.count%maxSamples] = d
	s.count++
	if s.count%updateInterval != 0 {
		return
	}
	v := append([]time.Duration(nil), s.ring[:min(s.count, maxSamples)]...)
	sort.Slice(v, func(i, j int) bool { return v[i] < v[j] })
	q := v[int(quantile*float64(len(v)-1))]
	s.delay = min(max(2*q, h.Min), h.Max)
}
