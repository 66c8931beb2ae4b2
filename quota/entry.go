package quota

import (
	"math"
	"time"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/bucket"
	"celeryreach.example/celeryreach/grant"
)

// never is a wait that no request can afford.
const never = time.Minute

// unknownPoll is how often requests look for a part at a host that starts, and
// unknownMost how many may wait for it.
const (
	unknownPoll = 50 * time.Millisecond
	unknownMost = 100
)

// entry is this host's state of one account.
type entry struct {
	name    string
	bucket  bucket.Bucket
	last    time.Time
	rate    float64 // the account's rate when last refilled
	refills float64 // tokens per second that this host gets now
	waiting int
	// unknown tells that this host has no part yet, but may have one soon.
	unknown bool
	// offered counts requests, admitted or not, since the last Demands.
	offered uint64
	demand  float64
	// borrowed tokens are for requests that wait, until borrowedUntil.
	borrowed      int
	borrowedUntil time.Time
	// pending tokens are asked for and not yet answered.
	pending int
	// dry is until when no other host is asked, since none had tokens.
	dry  time.Time
	lent []debt
}

// debt is a part of the bucket that is closed until the borrower can no longer
// spend its tokens.
type debt struct {
	units uint64
	until time.Time
}

// refill adds the tokens for the time in which each part of the grant held.
func (e *entry) refill(now time.Time, a account.Account, g grant.Grant) {
	r := min(e.rate, a.Rate)
	r -= r / drift
	e.bucket.Limit(max(a.Burst*g.Part(now)-e.closed(now), 0))
	e.bucket.Gain(r*g.Floor, overlap(e.last, now, g.FloorSince, g.FloorUntil))
	e.bucket.Gain(r*g.Leased, overlap(e.last, now, g.LeasedSince, g.LeasedUntil))
	e.unknown = g.Unknown
	e.refills = r * g.Part(now)
	e.rate = a.Rate
	if now.After(e.last) {
		e.last = now
	}
}

// take takes a token, a borrowed one first since it cannot be kept.
func (e *entry) take(now time.Time) bool {
	if e.borrowed > 0 && now.Before(e.borrowedUntil) {
		e.borrowed--
		return true
	}
	return e.bucket.TakeMany(1)
}

// coming returns how many tokens requests that wait will have besides those of
// the bucket.
func (e *entry) coming(now time.Time) int {
	if now.Before(e.borrowedUntil) {
		return e.borrowed + e.pending
	}
	return e.pending
}

// answer returns when a request that waits looks again for borrowed tokens.
func (e *entry) answer(now time.Time) time.Duration {
	if e.unknown {
		return unknownPoll
	}
	if e.coming(now) > 0 || !now.Before(e.dry) {
		return borrowPoll
	}
	return e.dry.Sub(now) + borrowPoll
}

// ready returns the time until the bucket can have n tokens.
func (e *entry) ready(n float64) time.Duration {
	w := n - e.bucket.Tokens()
	if w <= 0 {
		return 0
	}
	if e.refills <= 0 || n > e.bucket.Capacity() && e.waiting == 0 {
		return never
	}
	// Rounded up, so that a waiter who wakes finds the token.
	return min(time.Duration(math.Ceil(w/e.refills*float64(time.Second)))+time.Microsecond, never)
}

// closed returns how many tokens of the burst are lent, and forgets loans that
// have ended.
func (e *entry) closed(now time.Time) float64 {
	n := uint64(0)
	k := e.lent[:0]
	for _, d := range e.lent {
		if now.Before(d.until) {
			n += d.units
			k = append(k, d)
		}
	}
	e.lent = k
	return float64(n)
}

func overlap(from, to, since, until time.Time) time.Duration {
	if since.After(from) {
		from = since
	}
	if until.Before(to) {
		to = until
	}
	return to.Sub(from)
}
