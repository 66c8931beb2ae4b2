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

// A host has just started, its buckets are empty, and ten callers of an account come
// at once, all inside its rate. They are refused and told when to come back. Each
// finds a token when it does as told: told one time for all, they would come back
// together, one would be served and nine refused again.
func TestCallersComeBackToAToken(t *testing.T) {
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
		must.True(t, ok, must.Sprint("told ", d))
	}
}

// Far above its rate an account's callers are told a time that may hold, not that of
// a queue that nobody keeps.
func TestNoCallerIsSentAwayForLong(t *testing.T) {
	k := clockwork.NewFakeClock()
	x := &tokens.Tokens{Clock: k, Self: "a", Hosts: func() []string { return []string{"a"} }}
	x.Set([]account.Account{{Name: "unity", Rate: 2, Burst: 2}})
	for range 100 {
		_, d, ok := x.Take(context.Background(), "unity", 0)
		must.False(t, ok)
		must.LessEq(t, 5*time.Second, d)
	}
}
