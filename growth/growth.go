// Package growth caps how fast a failure domain takes on traffic from elsewhere.
// When a region fails, all its callers come at once; caches are cold, and a
// domain that took them all would fail next. The cap holds where the traffic
// arrives, whatever senders and plans believe.
package growth

import (
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// maxBurst is the part of an interval's allowance that may come at once.
	maxBurst = 0.1
	// minBurst lets at least this many requests come at once.
	minBurst = 1
)

// Growth admits requests from elsewhere. In each interval it admits at most what
// it admitted from elsewhere in the last one, and Cap times all that it ran in
// the last one besides.
type Growth struct {
	// Clock measures the intervals.
	Clock clockwork.Clock
	// Cap is the relative growth in an interval.
	Cap func() float64
	// Interval is the time for which Cap is meant.
	Interval func() time.Duration
	// Idle is the rate, in requests a second, from which an idle domain grows.
	Idle func() float64

	mu        sync.Mutex
	began     time.Time
	elsewhere float64
	all       float64
	rate      float64
	tokens    float64
	filled    time.Time
}

// Note counts a request of the domain's own callers that runs.
func (g *Growth) Note() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.turn(g.Clock.Now())
	g.all++
}

// Admit admits a request from elsewhere, or tells when to try again.
func (g *Growth) Admit() (retry time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := g.Clock.Now()
	g.turn(n)
	g.fill(n)
	if g.tokens < 1 {
		if g.rate <= 0 {
			return g.Interval(), false
		}
		return time.Duration(math.Ceil((1 - g.tokens) / (g.rate * (1 - g.burst())) * float64(time.Second))), false
	}
	g.tokens--
	g.all++
	g.elsewhere++
	return 0, true
}

// Return takes back an admitted request that was refused later and did not run.
func (g *Growth) Return() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tokens++
	g.all = max(0, g.all-1)
	g.elsewhere = max(0, g.elsewhere-1)
}

// turn begins a new interval when the last one is over.
func (g *Growth) turn(now time.Time) {
	i := g.Interval()
	switch {
	case g.began.IsZero():
		g.began = now
		g.filled = now
		g.rate = g.Cap() * g.Idle()
		return
	case now.Sub(g.began) < i:
		return
	}
	g.fill(g.began.Add(i))
	t := now.Sub(g.began).Seconds()
	g.rate = g.elsewhere/t + g.Cap()*max(g.all/t, g.Idle())
	g.elsewhere = 0
	g.all = 0
	g.began = now
}

func (g *Growth) fill(now time.Time) {
	if d := now.Sub(g.filled).Seconds(); d > 0 {
		// The rest of the allowance is what comes at once.
		g.tokens += d * g.rate * (1 - g.burst())
		g.filled = now
	}
	g.tokens = min(g.tokens, max(minBurst, g.burst()*g.rate*g.Interval().Seconds()))
}

// burst is small enough that a domain which takes all that it may goes on
// growing, also if the cap is small.
func (g *Growth) burst() float64 {
	return min(maxBurst, g.Cap()/2)
}
