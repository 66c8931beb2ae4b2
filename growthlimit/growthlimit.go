// Package growthlimit limits how fast a failure domain accepts remote traffic,
// which comes from other regions or failure domains. When a region fails, all
// its callers arrive at once; a domain that accepted all of them with cold
// caches would fail next. The receiving domain applies the limit, whatever the
// senders or the plan assume.
package growthlimit

import (
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// maxBurstFraction is the largest fraction of an interval's allowance
	// that may arrive at once.
	maxBurstFraction = 0.1
	// minBurstRequests is the least number of requests that may arrive at
	// once, also at low rates.
	minBurstRequests = 1
)

// Growthlimit admits remote requests. In each interval it admits at most as many remote
// requests as in the previous interval, plus Cap times the number of all requests, local
// and remote, that ran in the previous interval.
type Growthlimit struct {
	// Clock measures the intervals.
	Clock clockwork.Clock
	// Cap returns the relative growth per interval.
	Cap func() float64
	// Interval returns the length of the interval to which Cap applies.
	Interval func() time.Duration
	// IdleBaseRate returns the rate, in requests per second, from which an idle
	// domain starts to grow.
	IdleBaseRate func() float64

	mu             sync.Mutex
	intervalStart  time.Time
	remoteRequests float64
	allRequests    float64
	rate           float64
	tokens         float64
	refilledAt     time.Time
}

// CountLocal counts a request of the domain's own callers that ran.
func (g *Growthlimit) CountLocal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.startInterval(g.Clock.Now())
	g.allRequests++
}

// Admit admits a remote request, or returns the time after which to retry.
func (g *Growthlimit) Admit() (retry time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := g.Clock.Now()
	g.startInterval(n)
	g.refill(n)
	if g.tokens < 1 {
		if g.rate <= 0 {
			return g.Interval(), false
		}
		return time.Duration(math.Ceil((1 - g.tokens) / (g.rate * (1 - g.burstFraction())) * float64(time.Second))), false
	}
	g.tokens--
	g.allRequests++
	g.remoteRequests++
	return 0, true
}

// Cancel takes back an admitted request that was refused later and did not run.
func (g *Growthlimit) Cancel() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tokens++
	g.allRequests = max(0, g.allRequests-1)
	g.remoteRequests = max(0, g.remoteRequests-1)
}

// startInterval begins a new interval when the last one is over.
func (g *Growthlimit) startInterval(now time.Time) {
	i := g.Interval()
	switch {
	case g.intervalStart.IsZero():
		g.intervalStart = now
		g.refilledAt = now
		g.rate = g.Cap() * g.IdleBaseRate()
		return
	case now.Sub(g.intervalStart) < i:
		return
	}
	g.refill(g.intervalStart.Add(i))
	t := now.Sub(g.intervalStart).Seconds()
	g.rate = g.remoteRequests/t + g.Cap()*max(g.allRequests/t, g.IdleBaseRate())
	g.remoteRequests = 0
	g.allRequests = 0
	g.intervalStart = now
}

func (g *Growthlimit) refill(now time.Time) {
	if d := now.Sub(g.refilledAt).Seconds(); d > 0 {
		// The tokens that the bucket may already hold, burstFraction of the
		// interval's allowance, make up the rest.
		g.tokens += d * g.rate * (1 - g.burstFraction())
		g.refilledAt = now
	}
	g.tokens = min(g.tokens, max(minBurstRequests, g.burstFraction()*g.rate*g.Interval().Seconds()))
}

// burstFraction returns the fraction of an interval's allowance that may arrive
// at once. It is at most half of Cap, so that a domain that uses all of its
// allowance continues to grow even if Cap is small.
func (g *Growthlimit) burstFraction() float64 {
	return min(maxBurstFraction, g.Cap()/2)
}
