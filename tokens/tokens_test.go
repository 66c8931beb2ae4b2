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

// model is some hosts that divide one account's rate, and what they admitted.
type model struct {
	clock    *clockwork.FakeClock
	hosts    []*tokens.Tokens
	seen     []int // how many hosts each host knows
	rate     float64
	burst    float64
	admitted []time.Time
	leak     bool           // the test of the test: a lender that keeps what it gave
	later    func(f func()) // runs f after all hosts have had their turn
}

func newModel(n int, rate, burst float64) *model {
	m := &model{clock: clockwork.NewFakeClock(), rate: rate, burst: burst}
	for i := range n {
		m.seen = append(m.seen, n)
		m.hosts = append(m.hosts, m.host(i))
	}
	return m
}

func (m *model) host(i int) *tokens.Tokens {
	t := &tokens.Tokens{Clock: m.clock, Self: name(i), Hosts: func() []string { return names(m.seen[i]) }}
	t.Set([]account.Account{{Name: unity, Rate: m.rate, Burst: m.burst}})
	return t
}

func name(i int) string {
	return fmt.Sprint("host-", i)
}

// number is the number of the host of that name.
func number(host string) int {
	n, err := strconv.Atoi(strings.TrimPrefix(host, "host-"))
	if err != nil {
		panic(err)
	}
	return n
}

// names is what a host sees that knows n hosts.
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
		n := m.hosts[i].Give(name(j), unity, 10, 0)
		m.hosts[j].Receive(unity, n)
		if m.leak {
			m.hosts[i].Receive(unity, n)
		}
	case "lose":
		m.hosts[i].Give("", unity, 10, 0) // the answer never comes
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

// over returns a window in which more was admitted than rate and burst allow,
// or an empty string.
func (m *model) over() string {
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

// Hosts admit requests of one account, lend each other tokens, lose answers, and
// are killed and started again, in any order. An operator counts what all of
// them admitted: in no window is it more than rate and burst.
func TestNeverOverTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "hosts")
		m := newModel(n, float64(rapid.IntRange(1, 200).Draw(t, "rate")), float64(rapid.IntRange(1, 100).Draw(t, "burst")))
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			m.step(t)
		}
		must.EqOp(t, "", m.over())
	})
}

// The test of the test: a lender that keeps the tokens it gave away makes them
// twice, and the model finds a window with too many requests.
func TestModelFindsDoubledTokens(t *testing.T) {
	m := newModel(2, 10, 40)
	m.leak = true
	m.clock.Advance(10 * time.Second)
	for range 20 {
		m.take(1)
	}
	for range 5 {
		n := m.hosts[0].Give(name(1), unity, 10, 0)
		m.hosts[1].Receive(unity, n)
		m.hosts[0].Receive(unity, n)
		for range 10 {
			m.take(1)
		}
	}
	for range 20 {
		m.take(0)
	}
	must.StrContains(t, m.over(), "requests in")
}

// A host starts and has heard of no other one yet. Its callers are refused for a
// moment; with the whole rate for itself, it and the others would admit twice
// the rate.
func TestNothingBeforeTheOthersAreKnown(t *testing.T) {
	m := newModel(1, 100, 100)
	m.seen[0] = 0
	m.hosts[0] = m.host(0)
	m.clock.Advance(time.Hour)
	_, _, ok := m.hosts[0].Take(context.Background(), unity, 0)
	must.False(t, ok)
	m.seen[0] = 2
	m.hosts[0].Refill()
	m.take(0)
	m.clock.Advance(time.Second)
	m.take(0)
	must.Len(t, 1, m.admitted)
}

// One host gets all of an account's callers. It asks the others for tokens before
// it has none left, so that callers inside the rate are not refused.
func TestAsksInTime(t *testing.T) {
	m := newModel(4, 100, 100)
	var asked int64
	m.hosts[0].Ask = func(_ string, n, _ int64, _ []string) bool {
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
	n := m.hosts[1].Give(name(0), unity, asked, 0)
	must.Positive(t, n)
	m.hosts[0].Receive(unity, n)
	for range 16 {
		_, _, ok := m.hosts[0].Take(context.Background(), unity, 0)
		must.True(t, ok)
	}
}

// There are many hosts, and all callers of an account come to one that holds no
// part of its limits. While requests wait there, it gets every token of the burst
// from the others, so that callers inside the rate are not refused for where they
// are, and not one more.
func TestSmallPartsAreHandedOver(t *testing.T) {
	m := newModel(50, 48, 48)
	m.clock.Advance(time.Hour)
	for _, h := range m.hosts {
		h.Refill()
	}
	for range 2 {
		for _, h := range m.hosts {
			for range h.Give("caller's", unity, 48, 48) {
				m.admitted = append(m.admitted, m.clock.Now())
			}
		}
		must.Len(t, 48, m.admitted)
	}
	must.EqOp(t, "", m.over())
}
