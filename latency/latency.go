// Package latency publishes how long requests took, by route.
package latency

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"celeryreach.example/celeryreach/metric"
)

const (
	// longest is the time that is told apart; what took longer counts as that.
	longest   = time.Minute
	precision = 2
	// maxRoutes bounds the histograms of a process: 16 KB each. Routes beyond
	// them are counted together.
	maxRoutes = 64
	other     = "other"
)

// Latency has one histogram for each route, in microseconds.
type Latency struct {
	// Name is the name under which expvar shows it.
	Name string

	mu     sync.Mutex
	routes map[string]*hdrhistogram.Histogram
}

// summary is what expvar shows of a route; times are in milliseconds.
type summary struct {
	Count                int64
	P50, P90, P99, Worst float64
}

// Publish makes expvar show it, in the place of one of the same name before.
func (l *Latency) Publish() {
	metric.Metric{Name: l.Name}.Follow(l.summaries)
}

// Observe counts one answered request.
func (l *Latency) Observe(route string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.routes[route]
	if h == nil && len(l.routes) >= maxRoutes {
		route = other
		h = l.routes[route]
	}
	if h == nil {
		h = hdrhistogram.New(1, longest.Microseconds(), precision)
		if l.routes == nil {
			l.routes = make(map[string]*hdrhistogram.Histogram)
		}
		l.routes[route] = h
	}
	if h.RecordValue(min(d, longest).Microseconds()) != nil {
		return // no duration below zero is ever observed
	}
}

func (l *Latency) summaries() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := make(map[string]summary, len(l.routes))
	for n, h := range l.routes {
		r[n] = summary{
			Count: h.TotalCount(), P50: ms(h.ValueAtPercentile(50)), P90: ms(h.ValueAtPercentile(90)),
			P99: ms(h.ValueAtPercentile(99)), Worst: ms(h.Max()),
		}
	}
	return r
}

func ms(microseconds int64) float64 {
	return float64(microseconds) / 1000
}
