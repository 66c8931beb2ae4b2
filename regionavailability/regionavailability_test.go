package regionavailability_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/homes"
	"celeryreach.example/celeryreach/regionavailability"
)

// tolerance is the tolerated difference between the fraction in effect and the computed one.
const tolerance = 0.2

// mixes are steady streams of twenty requests per second, and the fraction of the
// region lagos that is available to unrestricted requests afterwards. Lagos has a third
// of the slots.
var mixes = []struct {
	name  string
	homes []string // of every second request
	left  float64
}{
	{"unrestricted only", nil, 1},
	// Half of the requests are restricted to a third of the slots, so the unrestricted
	// ones have to use the other regions.
	{"half restricted to lagos", []string{"lagos"}, 0.05},
	// Two regions share the restricted requests, which use no more than half of the
	// capacity of each.
	{"half restricted to lagos or abuja", []string{"lagos", "abuja"}, 0.25},
	{"half restricted to another region", []string{"abuja"}, 1},
	{"half restricted to all regions", []string{"lagos", "abuja", "kano"}, 1},
	{"half restricted to an unknown region", []string{"jos"}, 1},
}

func TestAvailable(t *testing.T) {
	for _, m := range mixes {
		t.Run(m.name, func(t *testing.T) {
			b := newAvailability()
			countEvenly(b, time.Unix(0, 0), 3*time.Minute, m.homes)
			must.InDelta(t, m.left, b.Available("lagos"), tolerance)
		})
	}
}

// A large account no longer sends requests, or its home region has changed. Unrestricted
// requests must be able to use its former region again; otherwise callers near that
// region are sent to a more distant one and wait longer.
func TestUnneededRegionIsReleased(t *testing.T) {
	b := newAvailability()
	countEvenly(b, time.Unix(0, 0), time.Minute, []string{"lagos"})
	must.Less(t, 0.05+tolerance, b.Available("lagos"))
	countEvenly(b, time.Unix(60, 0), 3*time.Minute, nil)
	must.GreaterEq(t, 1-tolerance, b.Available("lagos"))
}

// The list of backend servers changes every few seconds. An update must keep the
// counts. If they restarted from zero, objects would move back and forth between
// regions.
func TestSetSlotsKeepsCounts(t *testing.T) {
	b := newAvailability()
	countEvenly(b, time.Unix(0, 0), time.Minute, []string{"lagos"})
	l := b.Available("lagos")
	b.SetSlots(map[string]int{"lagos": 20, "abuja": 20, "kano": 19})
	must.EqOp(t, l, b.Available("lagos"))
	b.SetSlots(map[string]int{"abuja": 20, "kano": 20})
	must.EqOp(t, 1, b.Available("lagos"))
}

// A single request more or less must not move an object, so the fraction changes only
// in steps.
func TestSmallChangesAreIgnored(t *testing.T) {
	b := newAvailability()
	changes, last := 0, 1.0
	for i := range 2000 {
		var h []string
		if i%10 == 0 {
			h = []string{"lagos"}
		}
		countEvenly(b, time.Unix(int64(i), 0), time.Second/20, h)
		if l := b.Available("lagos"); l != last {
			changes, last = changes+1, l
		}
	}
	must.LessEq(t, 1, changes)
}

func newAvailability() *regionavailability.Regionavailability {
	b := new(regionavailability.Regionavailability)
	b.SetSlots(map[string]int{"lagos": 20, "abuja": 20, "kano": 20})
	return b
}

// countEvenly counts requests at a constant rate. Every second one is restricted to
// these regions.
func countEvenly(b *regionavailability.Regionavailability, from time.Time, d time.Duration, regions []string) {
	for i := range int(d.Seconds() * 20) {
		t := from.Add(time.Duration(i) * time.Second / 20)
		var h homes.Homes
		if i%2 == 0 {
			h = homes.Intersect(regions)
		}
		b.Count(h, t)
	}
}
