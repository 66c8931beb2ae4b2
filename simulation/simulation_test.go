package simulation_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/domain"
	"celeryreach.example/celeryreach/grant"
	"celeryreach.example/celeryreach/memorytable"
	"celeryreach.example/celeryreach/preset"
	"celeryreach.example/celeryreach/quota"
	"celeryreach.example/celeryreach/simulation"
)

const (
	hold    = 3 * time.Second
	rate    = 40
	burst   = 20
	step    = 100 * time.Millisecond
	slots   = 5
	domains = 3
)

// model drives a simulation with random faults and checks it with independent
// arithmetic.
type model struct {
	*simulation.Simulation
	t            *rapid.T
	messageLoss  float64
	maxDelay     time.Duration
	partitioned  [domains]bool
	storeDown    [domains]bool
	responseLoss float64
	domain       []int
	names        []string
	drift        float64
	// tokens is the exact bucket of the account over all hosts, in billionths.
	tokens    int64
	at        time.Time
	admitted  int
	violation string
}

func newModel(t *rapid.T, drift float64) *model {
	m := &model{t: t, drift: drift, tokens: burst * int64(time.Second)}
	r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
	m.Simulation = &simulation.Simulation{
		Hold: hold, StoreHold: 20 * time.Second, Heartbeat: 200 * time.Millisecond, Poll: time.Second, MinEpochInterval: 2 * time.Second,
		Config: newConfig(0.5, domains), Table: new(memorytable.Memorytable), Random: r, Delay: m.delay, Store: m.store,
		LateReads: true,
	}
	for i := range rapid.IntRange(2, 6).Draw(t, "hosts") {
		m.add(fmt.Sprintf("host-%d", i), i%domains)
	}
	m.at = m.Now()
	return m
}

func newConfig(floor float64, n int) *config.Config {
	c := &config.Config{Preset: "P", Presets: []preset.Preset{{Name: "P", FloorFraction: floor}}}
	c.Accounts = []account.Account{{Name: "a", Rate: rate, Burst: burst}}
	for i := range n {
		c.Domains = append(c.Domains, domain.Domain{Name: fmt.Sprintf("d%d", i), Region: fmt.Sprintf("r%d", i/2)})
	}
	return c
}

func (m *model) add(name string, d int) {
	s := 1 + m.drift*float64(rapid.IntRange(-10, 10).Draw(m.t, "speed"))/10
	m.domain = append(m.domain, d)
	m.names = append(m.names, name)
	m.Add(name, fmt.Sprintf("d%d", d), fmt.Sprintf("r%d", d/2), s)
}

// delay simulates the network. Hosts of one failure domain always receive each
// other's messages quickly. All other messages can be lost, delayed or blocked
// by a partition.
func (m *model) delay(from, to int) (time.Duration, bool) {
	f, t := m.domain[from], m.domain[to]
	if from == to {
		return time.Duration(m.Random.Int64N(int64(hold))), true
	}
	if f == t {
		return time.Millisecond, true
	}
	if m.partitioned[f] != m.partitioned[t] || m.Random.Float64() < m.messageLoss {
		return 0, false
	}
	return time.Duration(m.Random.Int64N(int64(m.maxDelay + time.Millisecond))), true
}

func (m *model) store(host int) (reached, answered bool) {
	if m.storeDown[m.domain[host]] {
		return false, false
	}
	return true, m.Random.Float64() >= m.responseLoss
}

// applyRandomFault applies one randomly drawn event.
func (m *model) applyRandomFault() {
	h := rapid.IntRange(0, m.Len()-1).Draw(m.t, "host")
	switch rapid.IntRange(0, 9).Draw(m.t, "act") {
	case 0:
		m.messageLoss = float64(rapid.IntRange(0, 5).Draw(m.t, "loss")) / 10
	case 1:
		m.partitioned[m.domain[h]] = !m.partitioned[m.domain[h]]
	case 2:
		m.storeDown[m.domain[h]] = !m.storeDown[m.domain[h]]
	case 3:
		m.Pause(h, m.Runs(h))
		m.check()
	case 4:
		m.Kill(h)
		if m.Len() < 20 {
			m.add(m.names[h], m.domain[h])
		}
	case 5:
		m.responseLoss = float64(rapid.IntRange(0, 8).Draw(m.t, "lost")) / 10
	case 6:
		m.maxDelay = time.Duration(rapid.IntRange(0, 4).Draw(m.t, "slow")) * time.Second
	case 7:
		m.Config = newConfig(float64(rapid.IntRange(1, 8).Draw(m.t, "floor"))/10, domains-rapid.IntRange(0, 1).Draw(m.t, "gone"))
	case 8:
		m.partitioned, m.storeDown, m.messageLoss, m.responseLoss, m.maxDelay = [domains]bool{}, [domains]bool{}, 0, 0, 0
	default:
		if m.Len() < 20 {
			m.add(fmt.Sprintf("host-%d", m.Len()+10), m.domain[h])
		}
	}
}

// runSchedule runs a randomly drawn schedule and stops at the first violation.
func (m *model) runSchedule(load bool) {
	m.Run(8 * time.Second)
	for range rapid.IntRange(1, 12).Draw(m.t, "acts") {
		m.applyRandomFault()
		for range rapid.IntRange(1, 60).Draw(m.t, "steps") {
			m.Run(step)
			m.check()
			if load {
				m.load()
			}
			if m.violation != "" {
				return
			}
		}
	}
}

// check verifies that no two running hosts may use the same slot at the moment,
// and that their parts of the rate do not exceed the limit.
func (m *model) check() {
	s, sum := make(map[string]int), 0.0
	for i := range m.Len() {
		if !m.Runs(i) {
			continue
		}
		h := m.Entitlement(i)
		sum += h.Fraction("rate/a")
		for d := range domains {
			l := fmt.Sprintf("slots/d%d", d)
			for _, k := range h.Slots(l, slots) {
				k := fmt.Sprint(l, " ", k)
				s[k]++
				if s[k] > 1 {
					m.violation = k + " has two users"
				}
			}
		}
	}
	if sum > 1 {
		m.violation = fmt.Sprintf("the parts add up to %v", sum)
	}
}

// load sends one request through most of the hosts, and lets further requests
// wait there and use all tokens that the host grants. It counts each token
// against the account's limits.
func (m *model) load() {
	n := m.Now()
	m.tokens = min(burst*int64(time.Second), m.tokens+rate*int64(n.Sub(m.at)))
	m.at = n
	for i := range m.Len() {
		if !m.Runs(i) || m.Random.Float64() < 0.3 {
			continue
		}
		q := m.Quota(i)
		if _, ok := q.TryTake("a", false); ok {
			m.admit()
		}
		if !q.StartWaiting("a", time.Second) {
			continue
		}
		m.At(20*time.Millisecond, func() {
			if m.Runs(i) {
				m.drain(i)
			}
			q.StopWaiting("a")
		})
	}
}

func (m *model) drain(i int) {
	n := m.Now()
	m.tokens = min(burst*int64(time.Second), m.tokens+rate*int64(n.Sub(m.at)))
	m.at = n
	for range burst {
		if _, ok := m.Quota(i).TryTake("a", true); !ok {
			return
		}
		m.admit()
	}
}

func (m *model) admit() {
	m.admitted++
	m.tokens -= int64(time.Second)
	if m.tokens < 0 {
		m.violation = fmt.Sprintf("request %d is above rate and burst", m.admitted)
	}
}

// Callers of one account send requests through all hosts while hosts are lost,
// paused and replaced, network partitions begin and end, the table fails or
// loses responses, and floors change. Since each host decides alone, at no time
// may two hosts use the same slot, nor may the parts of a rate exceed the
// limit.
func TestPartsAreDisjoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, 0.01)
		m.runSchedule(false)
		must.Eq(t, "", m.violation)
	})
}

// Under the faults of TestPartsAreDisjoint, no more requests may be admitted in
// any window of time than burst and rate allow, over all hosts together and
// with tokens on loan.
func TestRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, 0.001)
		m.runSchedule(true)
		must.Eq(t, "", m.violation)
	})
}

// The checks of TestPartsAreDisjoint and TestRateAndBurst must detect each of
// these violations: a loan that is not deducted from the lender's bucket, a
// part that is used after it lapsed, and a larger part that is used before the
// former holders stopped using it.
func TestJudgeFindsBrokenRules(t *testing.T) {
	broken := map[string]func(m *model){
		"loan not deducted": func(m *model) {
			m.OnLent = func(q *quota.Quota, name string, units uint64) {
				for range units {
					q.Refund(name)
				}
			}
		},
		"part used after its lapse": func(m *model) {
			m.Grant = func(g grant.Grant) grant.Grant {
				if !g.LeasedUntil.IsZero() {
					g.LeasedUntil = g.LeasedUntil.Add(time.Hour)
				}
				return g
			}
		},
		"grant before release": func(m *model) {
			m.ReportEpoch = func(_, own uint64) uint64 { return own }
		},
	}
	for n, b := range broken {
		t.Run(n, func(t *testing.T) {
			g := rapid.Custom(func(t *rapid.T) string {
				m := newModel(t, 0.001)
				b(m)
				m.runSchedule(true)
				return m.violation
			})
			for i := range 400 {
				if g.Example(i) != "" {
					return
				}
			}
			t.Fatal("not found in 400 schedules")
		})
	}
}
