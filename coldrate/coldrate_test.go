package coldrate_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"celeryreach.example/celeryreach/coldrate"
)

// A backend server starts under full load, and each host sends as much as its part allows.
// The parts of all hosts together must not exceed the bound of the backend server, since no
// host counts the requests of another.
func TestPartsSumBelowBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rapid.Float64Range(1, 50).Draw(t, "rate")
		n := rapid.IntRange(1, 40).Draw(t, "hosts")
		var h []string
		for i := range n {
			h = append(h, fmt.Sprint("host-", i))
		}
		sum := 0
		for _, v := range h {
			c := coldrate.Coldrate{Self: v, Hosts: func() []string { return h }, Overage: 1.5, Slack: 5}
			sum += c.Share("b", r)
		}
		must.LessEq(t, r*1.5+5, float64(sum))
		must.Positive(t, sum)
	})
}

// Under continuous load, no more requests than the part may be allowed in any interval of a
// second, wherever it begins.
func TestAllowInAnySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := rapid.IntRange(0, 5).Draw(t, "part")
		n := time.Unix(0, 0)
		var sent, all []time.Time
		for range rapid.IntRange(1, 100).Draw(t, "requests") {
			n = n.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			var ok bool
			sent, ok = coldrate.Allow(sent, p, n)
			if ok {
				sent = append(sent, n)
				all = append(all, n)
			}
		}
		for i := p; i < len(all); i++ {
			must.GreaterEq(t, time.Second, all[i].Sub(all[i-p]))
		}
	})
}
