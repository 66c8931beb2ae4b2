package quota

import "time"

const (
	// borrowAfter is the wait that is worth a round trip to another host.
	borrowAfter = 20 * time.Millisecond
	// borrowEvery bounds how often one account asks.
	borrowEvery = 50 * time.Millisecond
	borrowMost  = 16
	// borrowWait is how long those that wait expect an answer to a loan, and
	// borrowPoll how often they look for it.
	borrowWait = 250 * time.Millisecond
	borrowPoll = 10 * time.Millisecond
	// lendKeep is the part of its bucket that a lender keeps for itself.
	lendKeep = 0.25
	// loanMargin is added by the lender, as a divisor of the loan's time, for
	// clocks of different speed.
	loanMargin = 50
)

// Lend gives tokens to another host for a time and returns how many. They are
// gone from here before the answer is sent, and until the loan has ended their
// place in the bucket stays closed: else lent and refilled tokens together
// would exceed the burst.
func (q *Quota) Lend(name string, units uint64, d time.Duration) uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := q.Clock.Now()
	e, ok := q.touch(name, n)
	if !ok || e.waiting > 0 {
		return 0
	}
	a, _ := q.Account(name)
	s := e.bucket.Tokens() - lendKeep*a.Burst*q.Grant(name).Part(n)
	if s < 1 {
		return 0
	}
	u := min(units, uint64(s))
	e.bucket.TakeMany(int64(u))
	e.lent = append(e.lent, debt{units: u, until: n.Add(d + d/loanMargin)})
	return u
}

// Receive takes a loan. Until counts from before the loan was asked for.
func (q *Quota) Receive(name string, units uint64, until time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := q.Clock.Now()
	e, ok := q.touch(name, n)
	if !ok || !n.Before(until) {
		return
	}
	// Only what somebody waits for is taken; the rest is lost.
	u := min(units, uint64(max(e.waiting, 0)))
	if !n.Before(e.borrowedUntil) {
		e.borrowed = 0
		e.borrowedUntil = until
	}
	e.borrowed += u
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
