package quota

import (
	"math"
	"time"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/bucket"
	"celeryreach.example/celeryreach/grant"
)

// unaffordableWait stands for a wait that is longer than any request can
// afford.
const unaffordableWait = time.Minute

const (
	// unknownGrantPoll is the interval at which requests that wait on a
	// starting host check whether the host has received its part of the limit.
	unknownGrantPoll = 50 * time.Millisecond
	// maxUnknownGrantWaiters is how many requests of an account may wait until
	// a starting host has received its part.
	maxUnknownGrantWaiters = 100
)

// entry is the state of one account on this host.
type entry struct {
	name       string
	bucket     bucket.Bucket
	lastRefill time.Time
	rate       float64 // the account's rate when last refilled
	refillRate float64 // tokens per second from this host's part, as of the last refill
	waiting    int
	// grantUnknown is true while this host has no part yet but may receive one
	// soon.
	grantUnknown bool
	// offered counts requests, admitted or not, since the last call of Demands.
	offered uint64
	demand  float64
	// borrowed is the number of tokens for waiting requests that are usable
	// until borrowedUntil.
	borrowed      int
	borrowedUntil time.Time
	// requested is the number of tokens of loan requests that are not answered
	// yet.
	requested int
	// noLenderUntil is the time until which this host does not try to borrow,
	// since no other host had tokens to lend.
	noLenderUntil time.Time
	// loans are the loans that this host has given.
	loans []outgoingLoan
}

// outgoingLoan is a number of tokens lent to another host. Their place in the bucket
// stays unavailable until the borrower can no longer spend them.
type outgoingLoan struct {
	units uint64
	until time.Time
}

// refill adds the tokens for the time in which each part of the grant was
// valid.
func (e *entry) refill(now time.Time, a account.Account, g grant.Grant) {
	r := min(e.rate, a.Rate)
	r -= r / driftDivisor
	e.bucket.SetBurst(max(a.Burst*g.Fraction(now)-e.lentTokens(now), 0))
	e.bucket.AddAccrued(r*g.Floor, overlap(e.lastRefill, now, g.FloorSince, g.FloorUntil))
	e.bucket.AddAccrued(r*g.Leased, overlap(e.lastRefill, now, g.LeasedSince, g.LeasedUntil))
	e.grantUnknown = g.Unassigned
	e.refillRate = r * g.Fraction(now)
	e.rate = a.Rate
	if now.After(e.lastRefill) {
		e.lastRefill = now
	}
}

// take takes a token. A borrowed token is used first, since it expires at
// borrowedUntil.
func (e *entry) take(now time.Time) bool {
	if e.borrowed > 0 && now.Before(e.borrowedUntil) {
		e.borrowed--
		return true
	}
	return e.bucket.TakeMany(1)
}

// expectedTokens returns the number of tokens that are borrowed or requested
// from other hosts. Waiting requests can use them in addition to the tokens in
// the bucket.
func (e *entry) expectedTokens(now time.Time) int {
	if now.Before(e.borrowedUntil) {
		return e.borrowed + e.requested
	}
	return e.requested
}

// pollDelay returns the delay after which a waiting request checks again for a
// part or for borrowed tokens.
func (e *entry) pollDelay(now time.Time) time.Duration {
	if e.grantUnknown {
		return unknownGrantPoll
	}
	if e.expectedTokens(now) > 0 || !now.Before(e.noLenderUntil) {
		return borrowPollInterval
	}
	return e.noLenderUntil.Sub(now) + borrowPollInterval
}

// timeUntilTokens returns the time until the bucket has gained enough for n
// tokens, at most unaffordableWait. It returns unaffordableWait also if the
// bucket will never have enough.
func (e *entry) timeUntilTokens(n float64) time.Duration {
	w := n - e.bucket.Tokens()
	if w <= 0 {
		return 0
	}
	if e.refillRate <= 0 || n > e.bucket.Capacity() && e.waiting == 0 {
		return unaffordableWait
	}
	// The wait is rounded up, so that a request that wakes up finds the token.
	return min(time.Duration(math.Ceil(w/e.refillRate*float64(time.Second)))+time.Microsecond, unaffordableWait)
}

// lentTokens returns how many tokens of the burst are lent, and drops loans
// that have ended.
func (e *entry) lentTokens(now time.Time) float64 {
	n := uint64(0)
	k := e.loans[:0]
	for _, d := range e.loans {
		if now.Before(d.until) {
			n += d.units
			k = append(k, d)
		}
	}
	e.loans = k
	return float64(n)
}

// overlap returns how much of from..to lies within since..until. It is negative
// if there is no overlap.
func overlap(from, to, since, until time.Time) time.Duration {
	if since.After(from) {
		from = since
	}
	if until.Before(to) {
		to = until
	}
	return to.Sub(from)
}
