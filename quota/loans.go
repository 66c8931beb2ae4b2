package quota

import (
	"time"

	"celeryreach.example/celeryreach/grant"
)

const (
	// borrowAfter is the wait that is worth a round trip to another host.
	borrowAfter = 20 * time.Millisecond
	// borrowMost bounds one ask.
	borrowMost = 16
	// borrowPoll is how often requests that wait look for borrowed tokens.
	borrowPoll = 10 * time.Millisecond
	// dryFor is how long nobody is asked after nobody had tokens.
	dryFor = 100 * time.Millisecond
	// lendKeep is the part of its bucket that a lender keeps for itself at
	// most, and lendKeepFor the time of its own demand that it provides for.
	lendKeep    = 0.25
	lendKeepFor = 0.2
	// loanMargin is added by the lender, as a divisor of the loan's time, for
	// clocks of different speed.
	loanMargin = 50
)

// Lend gives tokens to another host and returns how many and for how long. They
// are gone from here before the answer is sent, and until the loan has ended
// their place in the bucket stays closed: else lent and refilled tokens together
// would exceed the burst. A loan ends before the part that it comes from may.
func (q *Quota) Lend(name string, units uint64, d time.Duration) (uint64, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := q.Clock.Now()
	e, ok := q.touch(name, n)
	if !ok || e.waiting > 0 {
		return 0, 0
	}
	a, _ := q.Account(name)
	g := q.Grant(name)
	d = min(d, lasts(g, n))
	s := e.bucket.Tokens() - min(lendKeep*a.Burst*g.Part(n), lendKeepFor*e.demand)
	if s < 1 || d <= 0 {
		return 0, 0
	}
	u := min(units, uint64(s))
	e.bucket.TakeMany(int64(u))
	e.lent = append(e.lent, debt{units: u, until: n.Add(d + d/loanMargin)})
	return u, d
}

// lasts returns for how long all of a grant is sure to last.
func lasts(g grant.Grant, now time.Time) time.Duration {
	d := never
	if g.Floor > 0 && now.Before(g.FloorUntil) {
		d = min(d, g.FloorUntil.Sub(now))
	}
	if g.Leased > 0 && now.Before(g.LeasedUntil) {
		d = min(d, g.LeasedUntil.Sub(now))
	}
	return d - d/loanMargin
}

// borrow asks for what n requests need beyond what is here and coming.
func (q *Quota) borrow(name string, e *entry, n int, now time.Time) {
	if q.Borrow == nil || now.Before(e.dry) {
		return
	}
	u := min(n-e.coming(now)-int(e.bucket.Tokens()), borrowMost-e.pending)
	if u <= 0 || e.ready(float64(n-e.coming(now))) <= borrowAfter {
		return
	}
	e.pending += u
	q.Borrow(name, uint64(u))
}

// Receive ends an ask for tokens with units of them, none if nobody lent any.
// Until counts from before the loan was asked for.
func (q *Quota) Receive(name string, asked, units uint64, until time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := q.Clock.Now()
	e, ok := q.touch(name, n)
	if !ok {
		return
	}
	e.pending = max(e.pending-int(asked), 0)
	if units == 0 {
		e.dry = n.Add(dryFor)
	}
	if !n.Before(until) {
		return
	}
	if !n.Before(e.borrowedUntil) {
		e.borrowed = 0
		e.borrowedUntil = until
	}
	// Only what somebody waits for is taken; the rest is lost.
	e.borrowed += min(int(units), e.waiting-e.borrowed)
	if until.Before(e.borrowedUntil) {
		e.borrowedUntil = until
	}
}

// Demands returns the requests per second offered for each account that had
// any lately, smoothed over calls that are d apart.
func (q *Quota) Demands(d time.Duration) map[string]float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := make(map[string]float64)
	for k, e := range q.entries {
		s := float64(e.offered) / d.Seconds()
		e.offered = 0
		e.demand += (s - e.demand) * smoothing
		if e.demand > demandLeast {
			r[k] = e.demand
		}
	}
	return r
}

// smoothing weighs the newest second against those before: single bursts must
// not move parts between hosts.
const smoothing = 0.2

// demandLeast is the demand in requests per second that is not worth telling.
const demandLeast = 0.01
