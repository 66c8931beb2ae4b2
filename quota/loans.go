package quota

import (
	"time"

	"celeryreach.example/celeryreach/grant"
)

const (
	// minBorrowWait is the shortest wait that justifies a round trip to another
	// host.
	minBorrowWait = 20 * time.Millisecond
	// maxRequestedTokens bounds the tokens of an account that are requested from
	// other hosts at once.
	maxRequestedTokens = 16
	// borrowPollInterval is how often waiting requests check for borrowed
	// tokens.
	borrowPollInterval = 10 * time.Millisecond
	// noLenderBackoff is how long borrowing pauses after no other host had
	// tokens.
	noLenderBackoff = 100 * time.Millisecond
	// maxReserveFraction limits the tokens that a lender reserves for its own
	// demand, as a fraction of its bucket. Up to this limit, a lender reserves
	// the tokens that its own requests need in reserveSeconds.
	maxReserveFraction = 0.25
	reserveSeconds     = 0.2
	// loanMarginDivisor sets the margin for clocks of different speed that the
	// lender adds to a loan, as a divisor of its duration.
	loanMarginDivisor = 50
)

// Lend lends tokens to another host and returns their number and the duration
// of the loan. The tokens are deducted before the response is sent, and their
// place in the bucket stays unavailable until the loan has ended. Otherwise
// lent and refilled tokens together would exceed the burst. A loan ends before
// the lender's grant can end.
func (q *Quota) Lend(name string, units uint64, d time.Duration) (uint64, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := q.Clock.Now()
	e, ok := q.refreshedEntry(name, n)
	if !ok || e.waiting > 0 {
		return 0, 0
	}
	a, _ := q.Account(name)
	g := q.Grant(name)
	d = min(d, remainingTime(g, n))
	s := e.bucket.Tokens() - min(maxReserveFraction*a.Burst*g.Fraction(n), reserveSeconds*e.demand)
	if s < 1 || d <= 0 {
		return 0, 0
	}
	u := min(units, uint64(s))
	e.bucket.TakeMany(int64(u))
	e.loans = append(e.loans, outgoingLoan{units: u, until: n.Add(d + d/loanMarginDivisor)})
	return u, d
}

// remainingTime returns for how long the floor and the leased part of a grant
// both remain valid. It subtracts a margin for clocks of different speed.
func remainingTime(g grant.Grant, now time.Time) time.Duration {
	d := unaffordableWait
	if g.Floor > 0 && now.Before(g.FloorUntil) {
		d = min(d, g.FloorUntil.Sub(now))
	}
	if g.Leased > 0 && now.Before(g.LeasedUntil) {
		d = min(d, g.LeasedUntil.Sub(now))
	}
	return d - d/loanMarginDivisor
}

// requestLoan borrows from other hosts the tokens that n requests need in
// addition to the available and expected ones.
func (q *Quota) requestLoan(name string, e *entry, n int, now time.Time) {
	if q.Borrow == nil || now.Before(e.noLenderUntil) {
		return
	}
	u := min(n-e.expectedTokens(now)-int(e.bucket.Tokens()), maxRequestedTokens-e.requested)
	if u <= 0 || e.timeUntilTokens(float64(n-e.expectedTokens(now))) <= minBorrowWait {
		return
	}
	e.requested += u
	q.Borrow(name, uint64(u))
}

// Receive ends a loan request for asked tokens. Units is the number of tokens
// lent, zero if no host lent any. Until is the end of the loan, whose duration
// counts from a time before the request was sent.
func (q *Quota) Receive(name string, asked, units uint64, until time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := q.Clock.Now()
	e, ok := q.refreshedEntry(name, n)
	if !ok {
		return
	}
	e.requested = max(e.requested-int(asked), 0)
	if units == 0 {
		e.noLenderUntil = n.Add(noLenderBackoff)
	}
	if !n.Before(until) {
		return
	}
	if !n.Before(e.borrowedUntil) {
		e.borrowed = 0
		e.borrowedUntil = until
	}
	// Only as many tokens are taken as requests wait; the rest are lost.
	e.borrowed += min(int(units), e.waiting-e.borrowed)
	if until.Before(e.borrowedUntil) {
		e.borrowedUntil = until
	}
}

// Demands returns the offered requests per second for each account with recent
// requests, smoothed over calls that are d apart.
func (q *Quota) Demands(d time.Duration) map[string]float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := make(map[string]float64)
	for k, e := range q.entries {
		s := float64(e.offered) / d.Seconds()
		e.offered = 0
		e.demand += (s - e.demand) * demandSmoothing
		if e.demand > minReportedDemand {
			r[k] = e.demand
		}
	}
	return r
}

// demandSmoothing is the weight of the newest interval relative to earlier
// intervals. It is low, so that a single burst does not move parts between
// hosts.
const demandSmoothing = 0.2

// minReportedDemand is the demand, in requests per second, above which an
// account is reported.
const minReportedDemand = 0.01
