// Package metric publishes present values over expvar, those that are set through
// go-kit.
package metric

import (
	"expvar"
	"sync"

	"github.com/go-kit/kit/metrics"
	kit "github.com/go-kit/kit/metrics/expvar"
)

// published and followed hold every metric of the process by name: expvar panics
// when a name is published twice, which a restarted part would do, and hosts that
// start in one process.
var (
	mutex     sync.Mutex
	published = make(map[string]metrics.Gauge)
	followed  = make(map[string]func() any)
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
		g = kit.NewGauge(m.Name)
		published[m.Name] = g
	}
	g.Set(v)
}

// Follow publishes what f returns whenever it is read. A later f takes the place of
// one before. A name is either set or followed.
func (m Metric) Follow(f func() any) {
	mutex.Lock()
	defer mutex.Unlock()
	if followed[m.Name] == nil {
		expvar.Publish(m.Name, expvar.Func(m.value))
	}
	followed[m.Name] = f
}

func (m Metric) value() any {
	mutex.Lock()
	f := followed[m.Name]
	mutex.Unlock()
	return f()
}
