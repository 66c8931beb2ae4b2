// Package measurement measures one cost at several sizes.
package measurement

import (
	"runtime"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/slope"
)

const (
	passTime = 20 * time.Millisecond
	passes   = 5
)

// Measurement is one measured cost.
type Measurement struct {
	// Name says what is measured.
	Name string
	// Unit is the unit of the cost: "ns" or "B".
	Unit string
	// Per is the unit of the size: "block" for example.
	Per string
	// Sizes are the sizes to measure at, three or more.
	Sizes []int
	// Measure returns the cost at size n.
	Measure func(n int) float64

	costs []float64
}

// Run measures at all sizes and returns the line through them.
func (p *Measurement) Run() slope.Slope {
	var x []float64
	p.costs = nil
	for _, n := range p.Sizes {
		x = append(x, float64(n))
		p.costs = append(p.costs, p.Measure(n))
	}
	return slope.New(x, p.costs)
}

// Costs returns the measured costs in the order of Sizes.
func (p *Measurement) Costs() []float64 {
	return p.costs
}

// Time returns the nanoseconds that one call of f takes: the best of several
// passes, since other work on the machine only ever adds.
func Time(c clockwork.Clock, f func()) float64 {
	n := 1
	for {
		if d := pass(c, f, n); d >= passTime || n > 1<<28 {
			break
		}
		n *= 2
	}
	b := time.Duration(1<<63 - 1)
	for range passes {
		b = min(b, pass(c, f, n))
	}
	return float64(b) / float64(n)
}

// Bytes returns the heap that stays in use after f, which returns what keeps
// it in use.
func Bytes(f func() any) float64 {
	a := heap()
	v := f()
	b := heap()
	runtime.KeepAlive(v)
	return max(0, float64(b)-float64(a))
}

func pass(c clockwork.Clock, f func(), n int) time.Duration {
	t := c.Now()
	for range n {
		f()
	}
	return c.Since(t)
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
