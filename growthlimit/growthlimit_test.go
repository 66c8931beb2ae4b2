package growthlimit

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const interval = 10 * time.Second

func newGrowthlimit(c clockwork.Clock, part, idle float64) *Growthlimit {
	return &Growthlimit{
		Clock: c, Cap: func() float64 { return part }, Interval: func() time.Duration { return interval },
		IdleBaseRate: func() float64 { return idle },
	}
}

// A region fails and its callers arrive as fast as they can. If all were
// admitted, this domain would fail next, and then the one after it. For any
// arrivals, the domain admits in an interval at most as many requests as in the
// previous one plus the growth that the cap allows. The test counts admissions
// itself.
func TestAdmissionGrowthCapped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := clockwork.NewFakeClock()
		f := rapid.Float64Range(0.05, 1).Draw(t, "cap")
		idle := rapid.Float64Range(0, 5).Draw(t, "idle")
		g := newGrowthlimit(c, f, idle)
		last, lastAll := 0, 0
		for i := range 6 {
			n, own := 0, 0
			for range 100 {
				for range rapid.IntRange(0, 20).Draw(t, "arrive") {
					if _, ok := g.Admit(); ok {
						n++
					}
				}
				for range rapid.IntRange(0, 5).Draw(t, "own") {
					g.CountLocal()
					own++
				}
				c.Advance(interval / 100)
			}
			if i > 0 {
				m := float64(last) + f*max(float64(lastAll), idle*interval.Seconds())
				// One request may arrive at once whatever the rate is.
				must.LessEq(t, m+minBurstRequests+0.001, float64(n))
			}
			last, lastAll = n, n+own
		}
	})
}

// Refused callers retry after the returned delay. They must be admitted then;
// otherwise retries only add to the overload.
func TestRetryAfterDelaySucceeds(t *testing.T) {
	c := clockwork.NewFakeClock()
	g := newGrowthlimit(c, 0.5, 4)
	for range 5 {
		d, ok := g.Admit()
		for !ok {
			must.Positive(t, d)
			c.Advance(d)
			d, ok = g.Admit()
			must.True(t, ok)
		}
	}
}

// An idle domain admits a growing part of another region's traffic until it
// carries all of it.
func TestGrowsToDemand(t *testing.T) {
	c := clockwork.NewFakeClock()
	g := newGrowthlimit(c, 0.5, 4)
	var n []int
	for range 14 {
		k := 0
		for range 1000 {
			if _, ok := g.Admit(); ok {
				k++
			}
			c.Advance(interval / 1000)
		}
		n = append(n, k)
	}
	must.Less(t, 30, n[0])
	must.GreaterEq(t, 950, n[13])
}
