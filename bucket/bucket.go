// Package bucket is a token bucket in exact integer arithmetic.
package bucket

import (
	"math"
	"math/bits"
	"time"
)

// unit is one token. Tokens are counted in billionths, so that a rate in
// tokens per second times a time in nanoseconds needs no division.
const unit = int64(time.Second)

// micro is the resolution of a rate: millionths of tokens per second.
const micro = 1_000_000

// Bucket admits at most Burst + Rate·t requests in any window t. It is not
// safe for concurrent use; its owner serializes.
type Bucket struct {
	rate   int64 // millionths of tokens per second
	burst  int64 // billionths of tokens
	tokens int64 // billionths of tokens
	last   time.Time
}

// Set changes rate, in tokens per second, and burst, in tokens. Tokens above
// the new burst are lost. A bucket starts empty.
func (b *Bucket) Set(now time.Time, rate, burst float64) {
	b.refill(now)
	b.rate = int64(rate * micro)
	b.burst = int64(burst * float64(unit))
	b.tokens = min(b.tokens, b.burst)
}

// Fill makes the bucket full. Only the holder of an unused limit may do so.
func (b *Bucket) Fill() {
	b.tokens = b.burst
}

// Limit changes the burst alone. Tokens above it are lost.
func (b *Bucket) Limit(burst float64) {
	b.burst = int64(max(burst, 0) * float64(unit))
	b.tokens = min(b.tokens, b.burst)
}

// Gain adds what rate makes in d. It is for owners whose rate changed at times
// that only they know, in the place of the bucket's own refill.
func (b *Bucket) Gain(rate float64, d time.Duration) {
	if d <= 0 || rate <= 0 {
		return
	}
	g := min(product(int64(rate*micro), d), b.burst)
	b.tokens = min(b.burst, b.tokens+g)
}

// TakeMany removes n tokens and reports whether there were so many. It does
// not refill first.
func (b *Bucket) TakeMany(n int64) bool {
	if n > b.tokens/unit {
		return false
	}
	b.tokens -= n * unit
	return true
}

// Tokens returns the number of tokens at the last refill.
func (b *Bucket) Tokens() float64 {
	return float64(b.tokens) / float64(unit)
}

// Capacity returns the burst, in tokens.
func (b *Bucket) Capacity() float64 {
	return float64(b.burst) / float64(unit)
}

// Take removes one token and reports whether there was one.
func (b *Bucket) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < unit {
		return false
	}
	b.tokens -= unit
	return true
}

// Until returns the time in which the rate makes the next token, as of the last
// refill, and the time for each one after it. It reports false if it makes none.
func (b *Bucket) Until() (next, each time.Duration, ok bool) {
	if b.rate <= 0 || b.burst < unit {
		return 0, 0, false
	}
	t := float64(micro) / float64(b.rate)
	return time.Duration(t * float64(max(unit-b.tokens, 0))), time.Duration(t * float64(unit)), true
}

// Add adds n tokens as far as the burst allows.
func (b *Bucket) Add(n int64) {
	b.tokens = min(b.tokens+n*unit, b.burst)
}

// Refill adds what the rate has made until now.
func (b *Bucket) Refill(now time.Time) {
	b.refill(now)
}

// Return gives back the token of a request that did not run.
func (b *Bucket) Return() {
	b.tokens = min(b.tokens+unit, b.burst)
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
	g := min(product(b.rate, d), b.burst)
	b.tokens = min(b.burst, b.tokens+g)
}

// product returns rate, in millionths of tokens per second, times d, in
// billionths of tokens, rounded down so that rounding never makes tokens.
func product(rate int64, d time.Duration) int64 {
	h, l := bits.Mul64(uint64(rate), uint64(d))
	if h >= micro {
		return math.MaxInt64
	}
	q, _ := bits.Div64(h, l, micro)
	return int64(min(q, math.MaxInt64))
}
