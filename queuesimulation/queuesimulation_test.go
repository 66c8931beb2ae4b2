package queuesimulation

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// One large account sends five times its rate and most callers leave. Each
// smaller account must still get at least 95% of its max-min fair share. The
// baseline queue does not achieve this.
func TestSmallAccounts(t *testing.T) {
	for _, v := range []struct {
		fair bool
		good bool
	}{{true, true}, {false, false}} {
		c := &Queuesimulation{Seed: 1, Duration: 3 * time.Second, Fair: v.fair, NewestFirstAfter: 100 * time.Millisecond}
		c.Run()
		d := make([]accountStats, accounts)
		for _, x := range c.callers {
			d[x.account].add(x)
		}
		s := maxMinShares(d, slots*c.Duration.Seconds()/meanHold.Seconds())
		for a := 1; a < accounts; a++ {
			must.EqOp(t, v.good, float64(d[a].answered) >= 0.95*s[a], must.Sprint(a, d[a].answered, s[a]))
		}
	}
}

// The same seed must give the same report, otherwise reports cannot be
// compared.
func TestRepeatable(t *testing.T) {
	run := func() string {
		c := &Queuesimulation{Seed: 7, Duration: time.Second, Fair: true, NewestFirstAfter: 100 * time.Millisecond}
		return strings.Join(c.Run(), "\n")
	}
	must.EqOp(t, run(), run())
}
