// Package measurement measures a cost, such as time or memory, at several sizes.
package measurement

import (
	"runtime"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/linearfit"
)

const (
	minPassTime = 20 * time.Millisecond
	passes      = 5
)

// Measurement describes one measured cost and holds its results.
type Measurement struct {
	// Name describes the measured cost.
	Name string
	// Unit is the unit of the cost: "ns" or "B".
	Unit string
	// Per is the unit of the size, for example "blocks".
	Per string
	// Sizes lists the sizes to measure at, at least three.
	Sizes []int
	// Measure returns the cost at size n.
	Measure func(n int) float64

	costs []float64
}

// Run measures at all sizes and returns the line fitted through the results.
func (p *Measurement) Run() linearfit.Linearfit {
	var x []float64
	p.costs = nil
	for _, n := range p.Sizes {
		x = append(x, float64(n))
		p.costs = append(p.costs, p.Measure(n))
	}
	return linearfit.New(x, p.costs)
}

// Costs returns the measured costs in the order of Sizes.
func (p *Measurement) Costs() []float64 {
	return p.costs
}

// Time returns the nanoseconds that one call of f takes. It returns the shortest of
// several passes, since other work on the machine can only make a pass longer.
func Time(c clockwork.Clock, f func()) float64 {
	n := 1
	for {
		if d := timePass(c, f, n); d >= minPassTime || n > 1<<28 {
			break
		}
		n *= 2
	}
	b := time.Duration(1<<63 - 1)
	for range passes {
		b = min(b, timePass(c, f, n))
	}
	return float64(b) / float64(n)
}

// Bytes returns the growth of the heap caused by f. The value that f returns is kept
// alive until the heap is measured.
func Bytes(f func() any) float64 {
	a := heapInUse()
	v := f()
	b := heapInUse()
	runtime.KeepAlive(v)
	return max(0, float64(b)-float64(a))
}

func timePass(c clockwork.Clock, f func(), n int) time.Duration {
	t := c.Now()
	for range n {
		f()
	}
	return c.Since(t)
}

func heapInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
