// Package counter counts requests by outcome and publishes the counts through go-kit
// over expvar.
package counter

import (
	"sync"

	"github.com/go-kit/kit/metrics"
	"github.com/go-kit/kit/metrics/expvar"
)

// published holds all metrics of the process by name, because expvar panics when a name
// is published twice. Without it, a second host in the process would publish the names
// of the first one again.
var (
	mutex     sync.Mutex
	published = make(map[string]metrics.Counter)
)

// Counter has one expvar counter for each outcome.
type Counter struct {
	// Prefix and the outcome form the name of a metric.
	Prefix string

	mu       sync.Mutex
	counters map[string]metrics.Counter
	totals   map[string]uint64
}

// Add counts one request that ended with outcome o.
func (c *Counter) Add(o string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counters == nil {
		c.counters = make(map[string]metrics.Counter)
		c.totals = make(map[string]uint64)
	}
	m := c.counters[o]
	if m == nil {
		m = publish(c.Prefix + o)
		c.counters[o] = m
	}
	m.Add(1)
	c.totals[o]++
}

// Totals returns the counts by outcome.
func (c *Counter) Totals() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := make(map[string]uint64, len(c.totals))
	for k, v := range c.totals {
		r[k] = v
	}
	return r
}

func publish(name string) metrics.Counter {
	mutex.Lock()
	defer mutex.Unlock()
	m := published[name]
	if m == nil {
		m = expvar.NewCounter(name)
		published[name] = m
	}
	return m
}
