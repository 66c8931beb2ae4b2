package binding_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/binding"
)

// step is how far the part that is used may be from the one that the requests leave.
const step = 0.2

// mixes are requests that come evenly for a while, twenty a second, and what is then
// left of lagos, which has a third of the slots.
var mixes = []struct {
	name  string
	homes []string // of every other request
	left  float64
}{
	{"all are free", nil, 1},
	// Half of the requests must be served by a third of the slots: the free ones,
	// which have the rest to go to, stay away.
	{"half must be in lagos", []string{"lagos"}, 0.05},
	// Two regions share them, so that each has no more than half to do of what it can.
	{"half must be in lagos or abuja", []string{"lagos", "abuja"}, 0.25},
	{"half must be elsewhere", []string{"abuja"}, 1},
	{"half may be anywhere that there is", []string{"lagos", "abuja", "kano"}, 1},
	{"half may be nowhere", []string{"jos"}, 1},
}

func TestLeft(t *testing.T) {
	for _, m := range mixes {
		t.Run(m.name, func(t *testing.T) {
			b := fitted()
			come(b, time.Unix(0, 0), 3*time.Minute, m.homes)
			must.InDelta(t, m.left, b.Left("lagos"), step)
		})
	}
}

// A large account has gone, or its home has changed. Free requests must come back to
// the region that was kept for it, near callers wait for the way to another one else.
func TestWhatNobodyNeedsIsFreeAgain(t *testing.T) {
	b := fitted()
	come(b, time.Unix(0, 0), time.Minute, []string{"lagos"})
	must.Less(t, 0.05+step, b.Left("lagos"))
	come(b, time.Unix(60, 0), 3*time.Minute, nil)
	must.GreaterEq(t, 1-step, b.Left("lagos"))
}

// The list of backend servers changes every few seconds. What is known must not start
// anew each time, or objects would move to and fro.
func TestAListKeepsWhatWasCounted(t *testing.T) {
	b := fitted()
	come(b, time.Unix(0, 0), time.Minute, []string{"lagos"})
	l := b.Left("lagos")
	b.Fit(map[string]int{"lagos": 20, "abuja": 20, "kano": 19})
	must.EqOp(t, l, b.Left("lagos"))
	b.Fit(map[string]int{"abuja": 20, "kano": 20})
	must.EqOp(t, 1, b.Left("lagos"))
}

// One request more or less must not move an object: the part that is left changes in
// steps only.
func TestSmallChangesAreNone(t *testing.T) {
	b := fitted()
	changes, last := 0, 1.0
	for i := range 2000 {
		var h []string
		if i%10 == 0 {
			h = []string{"lagos"}
		}
		come(b, time.Unix(int64(i), 0), time.Second/20, h)
		if l := b.Left("lagos"); l != last {
			changes, last = changes+1, l
		}
	}
	must.LessEq(t, 1, changes)
}

func fitted() *binding.Binding {
	b := new(binding.Binding)
	b.Fit(map[string]int{"lagos": 20, "abuja": 20, "kano": 20})
	return b
}

// come counts requests that come evenly, every other one with homes.
func come(b *binding.Binding, from time.Time, d time.Duration, homes []string) {
	for i := range int(d.Seconds() * 20) {
		t := from.Add(time.Duration(i) * time.Second / 20)
		if homes == nil || i%2 == 1 {
			b.Count(nil, t)
			continue
		}
		b.Count(func(r string) bool {
			for _, h := range homes {
				if h == r {
					return true
				}
			}
			return false
		}, t)
	}
}
