package tokens_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// maxWait is how long requests of these tests may wait for tokens.
const maxWait = 50 * time.Millisecond

// startRequest sends a request to host 0 and returns the channel of its result. It
// returns when the request is served or waits.
func startRequest(t *testing.T, m *model) <-chan bool {
	r := make(chan bool, 1)
	asked := make(chan struct{}, 1)
	m.hosts[0].StartBorrowing = func(string, int64, int64, []string) bool {
		asked <- struct{}{}
		return true
	}
	go func() {
		_, _, ok := m.hosts[0].Take(context.Background(), unity, maxWait)
		r <- ok
	}()
	<-asked
	must.NoError(t, m.clock.BlockUntilContext(t.Context(), 1))
	return r
}

// drainedModel returns a model in which the first host has no token left.
func drainedModel(hosts int) *model {
	m := newModel(hosts, 10, 40)
	m.clock.Advance(time.Hour)
	for _, h := range m.hosts {
		h.Refill()
	}
	for range 40 {
		m.take(0)
	}
	return m
}

// A caller inside the rate reaches the one host whose bucket is empty. Another host
// lends a token within a millisecond, so the caller must wait for it and not be
// refused.
func TestWaitsForALoan(t *testing.T) {
	m := drainedModel(2)
	r := startRequest(t, m)
	m.hosts[0].Receive(unity, m.hosts[1].LendTo(name(0), unity, 1, 0))
	m.hosts[0].BorrowingDone(unity)
	must.True(t, <-r)
}

// The account's rate is used up on all hosts. The caller must be refused as soon as the
// hosts that received a request have responded, and not only when its maximum wait ends.
func TestRefusedWhenNoHostHasTokens(t *testing.T) {
	m := drainedModel(2)
	r := startRequest(t, m)
	m.hosts[0].BorrowingDone(unity)
	must.False(t, <-r)
}

// The hosts that received a request do not respond. The caller must be refused when its
// maximum wait ends, and tokens that arrive later must serve the next caller.
func TestRefusedWhenNoHostAnswers(t *testing.T) {
	m := drainedModel(2)
	r := startRequest(t, m)
	m.clock.Advance(maxWait)
	must.False(t, <-r)
	m.hosts[0].Receive(unity, 1)
	m.take(0)
	must.EqOp(t, 21, len(m.admitted))
}

// Three callers wait, and the first attempt to borrow brings one token. The oldest
// caller must get it, and the hosts must receive another request before any other caller
// is refused.
func TestBorrowsAgainForWaitingRequests(t *testing.T) {
	m := drainedModel(2)
	first := startRequest(t, m)
	var asked []int64
	m.hosts[0].StartBorrowing = func(_ string, n, _ int64, _ []string) bool {
		asked = append(asked, n)
		return true
	}
	rest := make(chan bool, 2)
	for range 2 {
		go func() {
			_, _, ok := m.hosts[0].Take(context.Background(), unity, maxWait)
			rest <- ok
		}()
	}
	must.NoError(t, m.clock.BlockUntilContext(t.Context(), 3))
	m.hosts[0].Receive(unity, 1)
	must.True(t, <-first)
	m.hosts[0].BorrowingDone(unity)
	must.Eq(t, []int64{20}, asked)
	m.hosts[0].Receive(unity, 2)
	must.True(t, <-rest)
	must.True(t, <-rest)
}

// A host requests tokens from a second host that has none to spare. When the bucket of
// the second host later fills up, it must send its spare tokens to the first host instead
// of losing them.
func TestSpareTokensAreLentLater(t *testing.T) {
	m := drainedModel(2)
	for range 20 {
		m.take(1)
	}
	must.EqOp(t, 0, m.hosts[1].LendTo(name(0), unity, 5, 0))
	var host string
	var units int64
	m.hosts[1].SendLoan = func(h, _ string, n int64) { host, units = h, n }
	for range 9 {
		m.clock.Advance(300 * time.Millisecond)
		m.hosts[1].Refill()
		m.hosts[1].LendTo(name(0), unity, 5, 0)
	}
	m.clock.Advance(300 * time.Millisecond)
	m.hosts[1].Refill()
	must.EqOp(t, name(0), host)
	must.Positive(t, units)
	host = ""
	m.clock.Advance(time.Hour)
	m.hosts[1].Refill()
	must.EqOp(t, "", host)
}

// An account's burst is lower than the number of hosts. With a bucket of one token on
// each host, the total burst would be the number of hosts; so only some hosts must hold
// a share, and the others borrow for each request.
func TestBurstBelowTheNumberOfHosts(t *testing.T) {
	m := newModel(8, 10, 3)
	m.clock.Advance(time.Hour)
	for i := range m.hosts {
		m.hosts[i].Refill()
		m.take(i)
	}
	must.Len(t, 3, m.admitted)
	must.EqOp(t, "", m.findExcess())
}
