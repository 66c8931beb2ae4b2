// Package metric publishes gauges over expvar. Values that are set directly go through
// go-kit.
package metric

import (
	"expvar"
	"sync"

	"github.com/go-kit/kit/metrics"
	kit "github.com/go-kit/kit/metrics/expvar"
)

// published and callbacks hold all metrics of the process by name, because expvar
// panics when a name is published twice. Without them, a restarted component or a
// second host in the process would publish a name again.
var (
	mutex     sync.Mutex
	published = make(map[string]metrics.Gauge)
	callbacks = make(map[string]func() any)
)

// Metric is one gauge.
type Metric struct {
	Name string
}

// Set publishes a value.
func (m Metric) Set(v float64) {
	mutex.Lock()
	defer mutex.Unlock()
	g := published[m.Name]
	if g == nil {
		g = kit.NewGauge(m.Name)
		published[m.Name] = g
	}
	g.Set(v)
}

// SetFunc publishes the result of f, which is called at each read of the metric. A
// later f replaces the previous one. A metric uses either Set or SetFunc, not both.
func (m Metric) SetFunc(f func() any) {
	mutex.Lock()
	defer mutex.Unlock()
	if callbacks[m.Name] == nil {
		expvar.Publish(m.Name, expvar.Func(m.value))
	}
	callbacks[m.Name] = f
}

func (m Metric) value() any {
	mutex.Lock()
	f := callbacks[m.Name]
	mutex.Unlock()
	return f()
}
