// Package metric publishes present values, through go-kit over expvar.
package metric

import (
	"sync"

	"github.com/go-kit/kit/metrics"
	"github.com/go-kit/kit/metrics/expvar"
)

// published holds every gauge of the process by name: expvar panics when a
// name is published twice, which a restarted part would do.
var (
	mutex     sync.Mutex
	published = make(map[string]metrics.Gauge)
)

// Metric is one present value.
type Metric struct {
	// Name is the metric's name.
	Name string
}

// Set publishes a value.
func (m Metric) Set(v float64) {
	mutex.Lock()
	defer mutex.Unlock()
	g := published[m.Name]
	if g == nil {
		g = expvar.NewGauge(m.Name)
		published[m.Name] = g
	}
	g.Set(v)
}
