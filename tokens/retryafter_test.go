package tokens_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/tokens"
)

// Ten callers inside the rate arrive at a host that has just started with empty buckets.
// Each refused caller must find a token when it retries after the returned time. If all
// of them were given the same time, they would return together, and one would be served
// and nine refused again.
func TestRetryAfterFindsToken(t *testing.T) {
	k := clockwork.NewFakeClock()
	x := &tokens.Tokens{Clock: k, Self: "a", Hosts: func() []string { return []string{"a", "b"} }}
	x.Set([]account.Account{{Name: "unity", Rate: 20, Burst: 20}})
	var back []time.Duration
	for range 10 {
		_, d, ok := x.Take(context.Background(), "unity", 0)
		must.False(t, ok)
		back = append(back, d)
	}
	must.EqOp(t, 100*time.Millisecond, back[0])
	s := time.Duration(0)
	for _, d := range back {
		k.Advance(d - s)
		s = d
		_, _, ok := x.Take(context.Background(), "unity", 0)
		must.True(t, ok, must.Sprint("retry after ", d))
	}
}

// The time returned to callers far above the rate must stay bounded. It must not grow
// with each refused caller as if refused callers waited in a queue.
func TestRetryAfterIsBounded(t *testing.T) {
	k := clockwork.NewFakeClock()
	x := &tokens.Tokens{Clock: k, Self: "a", Hosts: func() []string { return []string{"a"} }}
	x.Set([]account.Account{{Name: "unity", Rate: 2, Burst: 2}})
	for range 100 {
		_, d, ok := x.Take(context.Background(), "unity", 0)
		must.False(t, ok)
		must.LessEq(t, 5*time.Second, d)
	}
}
