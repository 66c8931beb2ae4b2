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
	// unknownGrantPoll is how often waiting requests check whether a host that
	// is starting has a part.
	unknownGrantPoll = 50 * time.Millisecond
	// maxUnknownGrantWaiters is how many requests may wait for that part.
	maxUnknownGrantWaiters = 100
)

// entry is the state of one account on this host.
type entry struct {
	name       string
	bucket     bucket.Bucket
	lastRefill time.Time
	rate       float64 // the account's rate when last refilled
	refillRate float64 // tokens per second that this host gets now
	waiting    int
	// grantUnknown is true while this host has no part yet but may get one soon.
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
	// noLenderUntil is the time until which no tokens are borrowed, since no
	// other host had any.
	noLenderUntil time.Time
	// loans are the loans that this host has given.
	loans []outgoingLoan
}

// outgoingLoan is the part of the bucket that stays unavailable until the borrower
// can no longer spend its tokens.
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

// take takes a token. A borrowed one is used first, since it cannot be kept for
// later.
func (e *entry) take(now time.Time) bool {
	if e.borrowed > 0 && now.Before(e.borrowedUntil) {
		e.borrowed--
		return true
	}
	return e.bucket.TakeMany(1)
}

// expectedTokens returns how many tokens waiting requests will have in addition
// to those of the bucket.
func (e *entry) expectedTokens(now time.Time) int {
	if now.Before(e.borrowedUntil) {
		return e.borrowed + e.requested
	}
	return e.requested
}

// pollDelay returns when a waiting request checks again for borrowed tokens.
func (e *entry) pollDelay(now time.Time) time.Duration {
	if e.grantUnknown {
		return unknownGrantPoll
	}
	if e.expectedTokens(now) > 0 || !now.Before(e.noLenderUntil) {
		return borrowPollInterval
	}
	return e.noLenderUntil.Sub(now) + borrowPollInterval
}

// timeUntilTokens returns the time until the bucket can have n tokens.
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
