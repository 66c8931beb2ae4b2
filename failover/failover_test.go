package failover_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"celeryreach.example/celeryreach/failover"
	"celeryreach.example/celeryreach/preset"
	"celeryreach.example/celeryreach/route"
)

const (
	interval = 30 * time.Second
	tick     = 5 * time.Second
	shiftCap = 0.1
)

// If failover exceeds the cap, all callers of a lost region arrive at once at
// regions that have no room for them, and these regions fail in turn. However
// often the region is lost and recovers, at most the cap of the callers move
// within an interval, and none are moved out while the other regions have no
// room.
func TestStepsStayUnderTheCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := clockwork.NewFakeClock()
		h := rapid.Float64Range(0.05, 1).Draw(t, "share")
		m := 1.0
		f := &failover.Failover{
			Clock: c, Preset: func() preset.Preset { return preset.Preset{ShiftCap: shiftCap, ShiftInterval: interval} },
			Share: func(string, string) float64 { return h }, FreeCapacity: func(string) float64 { return m },
		}
		var p []float64
		for range rapid.IntRange(1, 150).Draw(t, "ticks") {
			a := rapid.IntRange(0, 9).Draw(t, "alive") == 0
			m = rapid.SampledFrom([]float64{0, 0.02, 1}).Draw(t, "room")
			b := f.MovedPoints("Listings", "lagos")
			f.Tick("Listings", "lagos", a)
			n := f.MovedPoints("Listings", "lagos")
			if m == 0 {
				must.LessEq(t, b, n)
			}
			p = append(p, h*float64(n)/route.TotalPoints)
			for i := max(0, len(p)-int(interval/tick)); i < len(p); i++ {
				must.Between(t, p[len(p)-1]-shiftCap-1e-5, p[i], p[len(p)-1]+shiftCap+1e-5)
			}
			c.Advance(tick)
		}
	})
}

// A region is lost just after a plan has moved callers, and recovers later. The
// first step is delayed by an interval. Four steps move all callers out, and
// four more move them back.
func TestRegionLostAndRecovered(t *testing.T) {
	c := clockwork.NewFakeClock()
	f := &failover.Failover{
		Clock: c, Preset: func() preset.Preset { return preset.Preset{ShiftCap: shiftCap, ShiftInterval: interval} },
		Share: func(string, string) float64 { return 1.0 / 3 }, FreeCapacity: func(string) float64 { return 1 },
	}
	f.RecordPlan()
	var r []int
	for i := range 16 {
		f.Tick("Listings", "lagos", i >= 8)
		r = append(r, f.MovedPoints("Listings", "lagos")*10/route.TotalPoints)
		c.Advance(interval)
	}
	must.Eq(t, []int{0, 3, 6, 9, 10, 10, 10, 10, 7, 4, 1, 0, 0, 0, 0, 0}, r)
	must.True(t, f.IdleFor(interval))
}
