// Package bucket implements a token bucket in exact integer arithmetic.
package bucket

import (
	"math"
	"math/bits"
	"time"
)

// tokenUnit is one token. Tokens are counted in billionths, so that a rate in tokens
// per second times a time in nanoseconds needs no division.
const tokenUnit = int64(time.Second)

// rateUnit is a rate of one token per second. Rates have a resolution of a millionth of
// that.
const rateUnit = 1_000_000

// Bucket admits at most burst + rate·t requests in any period t. It is not safe for
// concurrent use; its owner must serialize calls.
type Bucket struct {
	rate   int64 // millionths of tokens per second
	burst  int64 // billionths of tokens
	tokens int64 // billionths of tokens
	last   time.Time
}

// Set changes the rate, in tokens per second, and the burst, in tokens. Tokens above
// the new burst are lost. A new bucket is empty.
func (b *Bucket) Set(now time.Time, rate, burst float64) {
	b.refill(now)
	b.rate = int64(rate * rateUnit)
	b.burst = int64(burst * float64(tokenUnit))
	b.tokens = min(b.tokens, b.burst)
}

// Fill fills the bucket. Only the holder of an unused limit may call it.
func (b *Bucket) Fill() {
	b.tokens = b.burst
}

// SetBurst changes only the burst. Tokens above it are lost.
func (b *Bucket) SetBurst(burst float64) {
	b.burst = int64(max(burst, 0) * float64(tokenUnit))
	b.tokens = min(b.tokens, b.burst)
}

// AddAccrued adds the tokens that rate makes in d. An owner that itself tracks when its
// rate changed calls AddAccrued instead of Refill.
func (b *Bucket) AddAccrued(rate float64, d time.Duration) {
	if d <= 0 || rate <= 0 {
		return
	}
	g := min(tokensMade(int64(rate*rateUnit), d), b.burst)
	b.tokens = min(b.burst, b.tokens+g)
}

// TakeMany removes n tokens and reports whether that many were available. It does not
// refill the bucket first.
func (b *Bucket) TakeMany(n int64) bool {
	if n > b.tokens/tokenUnit {
		return false
	}
	b.tokens -= n * tokenUnit
	return true
}

// Tokens returns the number of tokens at the last refill.
func (b *Bucket) Tokens() float64 {
	return float64(b.tokens) / float64(tokenUnit)
}

// Capacity returns the burst, in tokens.
func (b *Bucket) Capacity() float64 {
	return float64(b.burst) / float64(tokenUnit)
}

// Take refills the bucket, removes one token and reports whether one was available.
func (b *Bucket) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < tokenUnit {
		return false
	}
	b.tokens -= tokenUnit
	return true
}

// UntilNextToken returns the time from the last refill until the bucket gains the
// next token, and the time for each further token. It returns false if the bucket
// gains no tokens.
func (b *Bucket) UntilNextToken() (next, each time.Duration, ok bool) {
	if b.rate <= 0 || b.burst < tokenUnit {
		return 0, 0, false
	}
	t := float64(rateUnit) / float64(b.rate)
	return time.Duration(t * float64(max(tokenUnit-b.tokens, 0))), time.Duration(t * float64(tokenUnit)), true
}

// Add adds n tokens, up to the burst.
func (b *Bucket) Add(n int64) {
	b.tokens = min(b.tokens+n*tokenUnit, b.burst)
}

// Refill adds the tokens that the rate has made until now.
func (b *Bucket) Refill(now time.Time) {
	b.refill(now)
}

// Refund gives back the token of a request that was not executed.
func (b *Bucket) Refund() {
	b.tokens = min(b.tokens+tokenUnit, b.burst)
}

func (b *Bucket) refill(now time.Time) {
	if !now.After(b.last) {
		return
	}
	d := now.Sub(b.last)
	b.last = now
	if b.rate == 0 || b.tokens >= b.burst {
		return
	}
	g := min(tokensMade(b.rate, d), b.burst)
	b.tokens = min(b.burst, b.tokens+g)
}

// tokensMade returns rate, in millionths of tokens per second, times d, in billionths
// of tokens. It rounds down, so that rounding never makes tokens.
func tokensMade(rate int64, d time.Duration) int64 {
	h, l := bits.Mul64(uint64(rate), uint64(d))
	if h >= rateUnit {
		return math.MaxInt64
	}
	q, _ := bits.Div64(h, l, rateUnit)
	return int64(min(q, math.MaxInt64))
}
