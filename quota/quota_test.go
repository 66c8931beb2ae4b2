package quota_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/authenticator"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/credential"
	"celeryreach.example/celeryreach/division"
	"celeryreach.example/celeryreach/entitlement"
	"celeryreach.example/celeryreach/grant"
	"celeryreach.example/celeryreach/holder"
	"celeryreach.example/celeryreach/quota"
	"celeryreach.example/celeryreach/snapshot"
	"celeryreach.example/celeryreach/span"
)

// testQuota is a quota whose grant is set by the test.
type testQuota struct {
	*quota.Quota
	clock     *clockwork.FakeClock
	grant     grant.Grant
	requested []uint64
}

// newTestQuota returns a quota with one account "a" with 10 requests per second
// and a burst of 4, which this host may use entirely for the next hour.
func newTestQuota() *testQuota {
	c := clockwork.NewFakeClock()
	n := c.Now()
	b := &testQuota{clock: c, grant: grant.Grant{Leased: 1, LeasedSince: n, LeasedUntil: n.Add(time.Hour), FirstUse: true}}
	b.Quota = &quota.Quota{
		Clock: c, Hold: 3 * time.Second,
		Account: func(n string) (account.Account, bool) { return account.Account{Name: n, Rate: 10, Burst: 4}, n == "a" },
		Grant:   func(string) grant.Grant { return b.grant },
	}
	return b
}

func (b *testQuota) drain() int {
	n := 0
	for b.Take("a") {
		n++
	}
	return n
}

// A part lapses and is valid again five seconds later. No request arrives
// during the lapse, so the bucket is refilled only afterwards. It must not gain
// tokens for the time of the lapse, since these belong to the host that held
// the part in that time.
func TestNoRefillWhileLapsed(t *testing.T) {
	b := newTestQuota()
	must.Eq(t, 4, b.drain())
	b.grant.LeasedUntil = b.clock.Now().Add(101 * time.Millisecond)
	b.clock.Advance(5 * time.Second)
	b.RefillAll()
	n := b.clock.Now()
	b.grant = grant.Grant{Leased: 1, LeasedSince: n, LeasedUntil: n.Add(time.Hour)}
	must.Eq(t, 0, b.drain())
}

// A request waits for a token that becomes available within its maximum wait.
// If no token will be available in that time, the request is refused at once
// with the time after which to retry.
func TestAdmitWaits(t *testing.T) {
	b := newTestQuota()
	b.drain()
	_, r, ok := b.Admit(context.Background(), "a", 50*time.Millisecond)
	must.False(t, ok)
	must.Between(t, 100*time.Millisecond, r, 101*time.Millisecond)
	d := make(chan bool)
	go func() {
		_, _, ok := b.Admit(context.Background(), "a", time.Second)
		d <- ok
	}()
	must.NoError(t, b.clock.BlockUntilContext(t.Context(), 1))
	b.clock.Advance(102 * time.Millisecond)
	must.True(t, <-d)
}

// A caller cancels while its request waits. The request must not use a token
// later.
func TestAdmitLeaves(t *testing.T) {
	b := newTestQuota()
	b.drain()
	x, f := context.WithCancel(context.Background())
	d := make(chan bool)
	go func() {
		_, _, ok := b.Admit(x, "a", time.Second)
		d <- ok
	}()
	must.NoError(t, b.clock.BlockUntilContext(t.Context(), 1))
	f()
	must.False(t, <-d)
	b.clock.Advance(time.Second)
	must.Eq(t, 4, b.drain())
}

// A process is paused between taking a token and forwarding the request. After
// Hold other hosts may use its part, so the token is no longer valid.
func TestConfirmAfterPause(t *testing.T) {
	b := newTestQuota()
	must.True(t, b.Take("a"))
	n := b.clock.Now()
	must.True(t, b.ConfirmToken("a", n))
	b.clock.Advance(10 * time.Second)
	b.grant = grant.Grant{}
	must.False(t, b.ConfirmToken("a", n))
}

// A request that ended with "not run" gives its token back, but the bucket
// never exceeds its capacity.
func TestReturn(t *testing.T) {
	b := newTestQuota()
	must.Eq(t, 4, b.drain())
	b.Refund("a")
	must.Eq(t, 1, b.drain())
	for range 9 {
		b.Refund("a")
	}
	must.Eq(t, 4, b.drain())
}

// Lent tokens are deducted at once, and their place in the bucket stays
// unavailable until the loan has ended. Otherwise the lender would refill
// tokens that the borrower still has.
func TestLend(t *testing.T) {
	b := newTestQuota()
	must.True(t, b.Take("a"))
	u, d := b.Lend("a", 2, time.Second)
	must.Eq(t, 2, u)
	must.Eq(t, time.Second, d)
	b.clock.Advance(900 * time.Millisecond)
	must.Eq(t, 2, b.drain())
	b.clock.Advance(time.Second)
	must.Eq(t, 4, b.drain())
}

// The lender's part may end before the loan would. The borrower must not use
// the tokens after the end of the part, when another host may hold the part.
func TestLoanEndsWithPart(t *testing.T) {
	b := newTestQuota()
	b.grant.LeasedUntil = b.clock.Now().Add(100 * time.Millisecond)
	u, d := b.Lend("a", 2, time.Second)
	must.Eq(t, 2, u)
	must.Eq(t, 98*time.Millisecond, d)
}

// Borrowed tokens serve waiting requests, once each, until their deadline.
// Tokens for which no request waits and tokens that arrive too late are lost.
func TestBorrowed(t *testing.T) {
	b := newTestQuota()
	b.grant = grant.Grant{}
	b.Borrow = func(_ string, u uint64) { b.requested = append(b.requested, u) }
	must.True(t, b.StartWaiting("a", time.Second))
	must.Eq(t, []uint64{1}, b.requested)
	b.Receive("a", 1, 5, b.clock.Now().Add(time.Second))
	_, ok := b.TryTake("a", true)
	must.True(t, ok)
	_, ok = b.TryTake("a", true)
	must.False(t, ok)
	b.Receive("a", 1, 1, b.clock.Now().Add(-time.Millisecond))
	_, ok = b.TryTake("a", true)
	must.False(t, ok)
}

// BenchmarkAdmission measures the time from the key in a request to the
// decision.
func BenchmarkAdmission(b *testing.B) {
	for _, n := range []int{8, 1_000, 100_000} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			c := &config.Config{}
			r := make([]*http.Request, n)
			for i := range n {
				a, k := fmt.Sprintf("account-%d", i), fmt.Sprintf("key-%d", i)
				c.Accounts = append(c.Accounts, account.Account{Name: a, Rate: 1e6, Burst: 1e6})
				c.Keys = append(c.Keys, credential.Credential{ID: k, Account: a, Hash: credential.Hash(k)})
				r[i] = &http.Request{Header: http.Header{"Authorization": {"Bearer " + k}}}
			}
			s := snapshot.New(c, "")
			a := &authenticator.Authenticator{Snapshot: func() *snapshot.Snapshot { return s }}
			x := newTestQuota()
			x.Account = s.Account
			x.Clock = clockwork.NewRealClock()
			x.Grant = newEntitlement(x.Clock).Rate
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				v, ok := a.Identify(r[i])
				if !ok || !x.Take(v.Account) {
					b.Fatal("refused")
				}
				i = (i + 1) % n
			}
		})
	}
}

// newEntitlement returns the entitlement of a host that is the only holder of the first
// epoch.
func newEntitlement(c clockwork.Clock) *entitlement.Entitlement {
	s := holder.Holder{Name: "h", Domain: "d"}
	h := &entitlement.Entitlement{Clock: c, Self: s, Hold: time.Hour, StoreHold: time.Hour}
	h.Tick()
	h.ApplyDivision(division.Division{Epoch: 1, Holders: []holder.Holder{s}, LeasedSpans: []span.Span{{To: span.FullLength}}}, c.Now())
	return h
}

// BenchmarkSync measures the cost of a new epoch for the request path: all
// buckets are refilled to the current time under the lock.
func BenchmarkSync(b *testing.B) {
	for _, n := range []int{8, 1_000, 100_000} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			x := newTestQuota()
			x.Account = func(n string) (account.Account, bool) { return account.Account{Name: n, Rate: 10, Burst: 4}, true }
			x.Grant = newEntitlement(x.clock).Rate
			for i := range n {
				x.Take(fmt.Sprintf("account-%d", i))
			}
			for b.Loop() {
				x.RefillAll()
			}
		})
	}
}
