package tokens_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// patience is how long requests of these tests may wait for tokens.
const patience = 50 * time.Millisecond

// begin sends a request to host 0 and returns where its result comes. It returns
// when the request is served or waits.
func begin(t *testing.T, m *model) <-chan bool {
	r := make(chan bool, 1)
	asked := make(chan struct{}, 1)
	m.hosts[0].Ask = func(string, int64, int64, []string) bool {
		asked <- struct{}{}
		return true
	}
	go func() {
		_, _, ok := m.hosts[0].Take(context.Background(), unity, patience)
		r <- ok
	}()
	<-asked
	must.NoError(t, m.clock.BlockUntilContext(t.Context(), 1))
	return r
}

// drained returns hosts of which the first has no token left.
func drained(hosts int) *model {
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

// A caller of an account inside its rate comes to the one host whose bucket is
// empty. Another host has tokens to spare and answers within a millisecond. The
// caller waits for them and is not refused.
func TestWaitsForALoan(t *testing.T) {
	m := drained(2)
	r := begin(t, m)
	m.hosts[0].Receive(unity, m.hosts[1].Give(name(0), unity, 1, 0))
	m.hosts[0].Asked(unity)
	must.True(t, <-r)
}

// The account's rate is used up on all hosts. Its caller is refused as soon as the
// hosts that were asked have answered, and not held for the whole of its patience.
func TestRefusedWhenNobodyHasTokens(t *testing.T) {
	m := drained(2)
	r := begin(t, m)
	m.hosts[0].Asked(unity)
	must.False(t, <-r)
}

// The hosts that were asked do not answer. The caller is refused when its patience
// has ended; tokens that come later serve the next one.
func TestRefusedWhenNobodyAnswers(t *testing.T) {
	m := drained(2)
	r := begin(t, m)
	m.clock.Advance(patience)
	must.False(t, <-r)
	m.hosts[0].Receive(unity, 1)
	m.take(0)
	must.EqOp(t, 21, len(m.admitted))
}

// Three callers wait, and the first answer brings one token. The oldest gets it,
// and the hosts are asked again for the others, before anybody is refused.
func TestAsksAgainForThoseWhoWait(t *testing.T) {
	m := drained(2)
	first := begin(t, m)
	var asked []int64
	m.hosts[0].Ask = func(_ string, n, _ int64, _ []string) bool {
		asked = append(asked, n)
		return true
	}
	rest := make(chan bool, 2)
	for range 2 {
		go func() {
			_, _, ok := m.hosts[0].Take(context.Background(), unity, patience)
			rest <- ok
		}()
	}
	must.NoError(t, m.clock.BlockUntilContext(t.Context(), 3))
	m.hosts[0].Receive(unity, 1)
	must.True(t, <-first)
	m.hosts[0].Asked(unity)
	must.Eq(t, []int64{20}, asked)
	m.hosts[0].Receive(unity, 2)
	must.True(t, <-rest)
	must.True(t, <-rest)
}

// A host asks while another has nothing to spare. Later that one's bucket would
// run over: what it has to spare goes to the host that asked, and is not lost.
func TestSpareTokensGoWhereTheyAreWanted(t *testing.T) {
	m := drained(2)
	for range 20 {
		m.take(1)
	}
	must.EqOp(t, 0, m.hosts[1].Give(name(0), unity, 5, 0))
	var host string
	var units int64
	m.hosts[1].Lend = func(h, _ string, n int64) { host, units = h, n }
	for range 9 {
		m.clock.Advance(300 * time.Millisecond)
		m.hosts[1].Refill()
		m.hosts[1].Give(name(0), unity, 5, 0)
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

// An account's burst is less than the number of hosts. Each host with a bucket of
// one whole token would make the burst as large as the number of hosts; so only
// some hold a part, and the others borrow for each request.
func TestBurstBelowTheNumberOfHosts(t *testing.T) {
	m := newModel(8, 10, 3)
	m.clock.Advance(time.Hour)
	for i := range m.hosts {
		m.hosts[i].Refill()
		m.take(i)
	}
	must.Len(t, 3, m.admitted)
	must.EqOp(t, "", m.over())
}
