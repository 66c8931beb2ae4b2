package tokens_test

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/tokens"
)

const unity = "unity"

// model simulates hosts that divide one account's rate, and records what they admitted.
type model struct {
	clock     *clockwork.FakeClock
	hosts     []*tokens.Tokens
	known     []int // number of hosts that each host knows
	rate      float64
	burst     float64
	admitted  []time.Time
	leak      bool           // lenders keep the tokens that they lend, to test the model itself
	deferCall func(f func()) // runs f after all hosts have run in a tick
}

func newModel(n int, rate, burst float64) *model {
	m := &model{clock: clockwork.NewFakeClock(), rate: rate, burst: burst}
	for i := range n {
		m.known = append(m.known, n)
		m.hosts = append(m.hosts, m.host(i))
	}
	return m
}

func (m *model) host(i int) *tokens.Tokens {
	t := &tokens.Tokens{Clock: m.clock, Self: name(i), Hosts: func() []string { return names(m.known[i]) }}
	t.Set([]account.Account{{Name: unity, Rate: m.rate, Burst: m.burst}})
	return t
}

func name(i int) string {
	return fmt.Sprint("host-", i)
}

// index returns the index of the host with the given name.
func index(host string) int {
	n, err := strconv.Atoi(strings.TrimPrefix(host, "host-"))
	if err != nil {
		panic(err)
	}
	return n
}

// names returns the names of the hosts that a host knows if it knows n hosts.
func names(n int) []string {
	var r []string
	for i := range n {
		r = append(r, name(i))
	}
	return r
}

func (m *model) step(t *rapid.T) {
	i := rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host")
	switch rapid.SampledFrom([]string{"take", "take", "take", "burst", "lend", "lose", "restart", "wait"}).Draw(t, "step") {
	case "take":
		m.take(i)
	case "burst":
		for range 20 {
			m.take(i)
		}
	case "lend":
		j := rapid.IntRange(0, len(m.hosts)-1).Draw(t, "to")
		n := m.hosts[i].LendTo(name(j), unity, 10, 0)
		m.hosts[j].Receive(unity, n)
		if m.leak {
			m.hosts[i].Receive(unity, n)
		}
	case "lose":
		m.hosts[i].LendTo("", unity, 10, 0) // the response is lost
	case "restart":
		m.hosts[i] = m.host(i)
	case "wait":
		m.hosts[i].Refill()
		m.clock.Advance(time.Duration(rapid.IntRange(1, 800).Draw(t, "ms")) * time.Millisecond)
	}
}

func (m *model) take(i int) bool {
	_, _, ok := m.hosts[i].Take(context.Background(), unity, 0)
	if ok {
		m.admitted = append(m.admitted, m.clock.Now())
	}
	return ok
}

// findExcess returns a period in which more was admitted than rate and burst allow, or
// an empty string.
func (m *model) findExcess() string {
	for i, a := range m.admitted {
		for j := i; j < len(m.admitted); j++ {
			d := m.admitted[j].Sub(a)
			if n := j - i + 1; float64(n) > m.rate*d.Seconds()+m.burst+1e-6 {
				return fmt.Sprintf("%d requests in %v", n, d)
			}
		}
	}
	return ""
}

// Hosts admit requests of one account, lend each other tokens, lose responses, and are
// killed and restarted, in any order. All hosts together must not admit more than rate
// and burst in any period.
func TestNeverOverTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "hosts")
		m := newModel(n, float64(rapid.IntRange(1, 200).Draw(t, "rate")), float64(rapid.IntRange(1, 100).Draw(t, "burst")))
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			m.step(t)
		}
		must.EqOp(t, "", m.findExcess())
	})
}

// This tests the model itself: a lender that keeps the tokens that it lends doubles
// them, and the model must find a period with too many requests.
func TestModelFindsDoubledTokens(t *testing.T) {
	m := newModel(2, 10, 40)
	m.leak = true
	m.clock.Advance(10 * time.Second)
	for range 20 {
		m.take(1)
	}
	for range 5 {
		n := m.hosts[0].LendTo(name(1), unity, 10, 0)
		m.hosts[1].Receive(unity, n)
		m.hosts[0].Receive(unity, n)
		for range 10 {
			m.take(1)
		}
	}
	for range 20 {
		m.take(0)
	}
	must.StrContains(t, m.findExcess(), "requests in")
}

// A host that has just started does not know any other host yet. It must refuse its
// callers: with the full rate for itself, it and the others would admit twice the rate.
func TestNothingAdmittedBeforeHostsAreKnown(t *testing.T) {
	m := newModel(1, 100, 100)
	m.known[0] = 0
	m.hosts[0] = m.host(0)
	m.clock.Advance(time.Hour)
	_, _, ok := m.hosts[0].Take(context.Background(), unity, 0)
	must.False(t, ok)
	m.known[0] = 2
	m.hosts[0].Refill()
	m.take(0)
	m.clock.Advance(time.Second)
	m.take(0)
	must.Len(t, 1, m.admitted)
}

// One host gets all callers of an account. It must request tokens from the others before
// its bucket is empty, so that callers inside the rate are not refused.
func TestBorrowsBeforeBucketIsEmpty(t *testing.T) {
	m := newModel(4, 100, 100)
	var asked int64
	m.hosts[0].StartBorrowing = func(_ string, n, _ int64, _ []string) bool {
		asked += n
		return true
	}
	m.clock.Advance(time.Hour)
	for _, h := range m.hosts {
		h.Take(context.Background(), unity, 0)
	}
	m.clock.Advance(time.Hour)
	for range 16 {
		_, _, ok := m.hosts[0].Take(context.Background(), unity, 0)
		must.True(t, ok)
	}
	must.Positive(t, asked)
	n := m.hosts[1].LendTo(name(0), unity, asked, 0)
	must.Positive(t, n)
	m.hosts[0].Receive(unity, n)
	for range 16 {
		_, _, ok := m.hosts[0].Take(context.Background(), unity, 0)
		must.True(t, ok)
	}
}

// All callers of an account reach the same host of many, and this host holds no share of
// the limits. While requests wait at the host, it must borrow every token of the burst
// from the other hosts, but no more. Otherwise callers inside the rate would be refused
// because of the host that they reach.
func TestSmallSharesAreLent(t *testing.T) {
	m := newModel(50, 48, 48)
	m.clock.Advance(time.Hour)
	for _, h := range m.hosts {
		h.Refill()
	}
	for range 2 {
		for _, h := range m.hosts {
			for range h.LendTo("caller's", unity, 48, 48) {
				m.admitted = append(m.admitted, m.clock.Now())
			}
		}
		must.Len(t, 48, m.admitted)
	}
	must.EqOp(t, "", m.findExcess())
}
