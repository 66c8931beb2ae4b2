// Package latency publishes the latency of requests by route.
package latency

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"celeryreach.example/celeryreach/metric"
)

const (
	// maxLatency is the highest latency that is recorded. Higher latencies are
	// recorded as maxLatency.
	maxLatency        = time.Minute
	significantDigits = 2
	// maxRoutes bounds the number of histograms, which take 16 KB each. Further routes
	// share the histogram of otherRoutes.
	maxRoutes   = 64
	otherRoutes = "other"
)

// Latency holds one histogram for each route, in microseconds.
type Latency struct {
	// Name is the expvar name.
	Name string

	mu     sync.Mutex
	routes map[string]*hdrhistogram.Histogram
}

// summary is the value of a route in expvar; times are in milliseconds.
type summary struct {
	Count                int64
	P50, P90, P99, Worst float64
}

// Publish publishes the summaries in expvar. It replaces a Latency published earlier
// under the same name.
func (l *Latency) Publish() {
	metric.Metric{Name: l.Name}.SetFunc(l.summaries)
}

// Observe counts one answered request.
func (l *Latency) Observe(route string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.routes[route]
	if h == nil && len(l.routes) >= maxRoutes {
		route = otherRoutes
		h = l.routes[route]
	}
	if h == nil {
		h = hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
		if l.routes == nil {
			l.routes = make(map[string]*hdrhistogram.Histogram)
		}
		l.routes[route] = h
	}
	if h.RecordValue(min(d, maxLatency).Microseconds()) != nil {
		return // only negative values are rejected, and durations are never negative
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
