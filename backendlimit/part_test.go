package backendlimit

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/member"
)

const (
	overage = 1.5
	slack   = 5.0
	window  = 4 * time.Second
	tick    = 20 * time.Millisecond
)

// fleet simulates hosts that observe the limit of one backend server, and records what
// they send.
type fleet struct {
	clock   *clockwork.FakeClock
	backend backend.Backend
	hosts   []*Backendlimit
	sent    []time.Time
	started time.Time
}

func newFleet(hosts, regions int) *fleet {
	f := &fleet{clock: clockwork.NewFakeClock(), backend: backend.Backend{Name: "c1", Region: "region-0"}}
	f.started = f.clock.Now()
	var l []member.Member
	for i := range hosts {
		l = append(l, member.Member{Name: fmt.Sprint("host-", i), Region: fmt.Sprint("region-", i%regions)})
	}
	for _, m := range l {
		f.hosts = append(f.hosts, &Backendlimit{
			Clock: f.clock, Log: log.New(io.Discard), Self: m.Name, Hosts: func() []member.Member { return l },
			RemoteWeight: 0.15, Overage: overage, Slack: slack, Window: window, Notify: func() {},
		})
	}
	return f
}

// announce makes all hosts observe a limit.
func (f *fleet) announce(value string) {
	for _, h := range f.hosts {
		h.Observe(f.backend, f.clock.Now(), []string{value}, true)
	}
	f.clock.Advance(tick)
}

// sendAll lets a host send as many requests as its part of the limit allows.
func (f *fleet) sendAll(h *Backendlimit) {
	for h.Allow(f.backend) {
		h.RecordSent(f.backend)
		f.sent = append(f.sent, f.clock.Now())
	}
}

// maxPerWindow returns the maximum number of requests sent in any window.
func (f *fleet) maxPerWindow() int {
	n, from := 0, 0
	for i, t := range f.sent {
		for t.Sub(f.sent[from]) >= window {
			from++
		}
		n = max(n, i-from+1)
	}
	return n
}

// Hosts that do not exchange observations must not send more together than a limit
// allows, whenever their callers arrive.
func TestSumOfShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.Float64Range(0, 40).Draw(t, "limit")
		if rapid.Bool().Draw(t, "small") {
			n = rapid.SampledFrom([]float64{0, 0.01, 0.25, 0.5, 1, 2}).Draw(t, "which")
		}
		f := newFleet(rapid.IntRange(1, 60).Draw(t, "hosts"), rapid.IntRange(1, 4).Draw(t, "regions"))
		f.announce(fmt.Sprint(n))
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			f.clock.Advance(time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "all") {
				for _, h := range f.hosts {
					f.sendAll(h)
				}
				continue
			}
			f.sendAll(f.hosts[rapid.IntRange(0, len(f.hosts)-1).Draw(t, "host")])
		}
		must.LessEq(t, overage*n*window.Seconds()+slack, float64(f.maxPerWindow()), must.Sprint(f.maxPerWindow()))
	})
}

// Callers arrive at all hosts at once after a time without any. The hosts without a share
// take turns to check whether the limit still holds, and must not all do so at this
// moment.
func TestHostsWithoutShareTakeTurns(t *testing.T) {
	for _, n := range []int{6, 12, 60} {
		f := newFleet(n, 1)
		f.announce("0")
		for range 400 {
			f.clock.Advance(500 * time.Millisecond)
			if f.clock.Since(f.started)%(20*time.Second) < 2*time.Second {
				for _, h := range f.hosts {
					f.sendAll(h)
				}
			}
		}
		must.LessEq(t, slack, float64(f.maxPerWindow()), must.Sprintf("%d hosts", n))
	}
}

// A host that does not know the others yet must not use the full limit itself.
func TestNoFullShareBeforeHostsAreKnown(t *testing.T) {
	f := newFleet(1, 1)
	f.hosts[0].Hosts = func() []member.Member { return nil }
	f.announce("20")
	for range 60 {
		f.clock.Advance(time.Second)
		f.sendAll(f.hosts[0])
	}
	must.Between(t, 1, len(f.sent), 20)
}

// A limit must not stay unused while callers in the backend server's region request
// more.
func TestLimitIsUsed(t *testing.T) {
	for _, v := range []struct {
		hosts, regions int
		limit, least   float64
	}{{1, 1, 4.5, 0.95}, {11, 3, 4.5, 0.7}, {11, 3, 1, 0.7}, {80, 3, 3, 0.95}} {
		f := newFleet(v.hosts, v.regions)
		f.announce(fmt.Sprint(v.limit))
		for range 100 * time.Second / tick {
			f.clock.Advance(tick)
			for i, h := range f.hosts {
				if i%v.regions == 0 {
					f.sendAll(h)
				}
			}
		}
		u := float64(len(f.sent)) / 100 / v.limit
		t.Logf("%d hosts in %d regions, limit %g: %.2f of it", v.hosts, v.regions, v.limit, u)
		must.GreaterEq(t, v.least, u)
	}
}

// A limit that fluctuates with the load must not leave hosts without a token forever.
func TestFluctuatingLimit(t *testing.T) {
	f := newFleet(4, 1)
	for i := range 1000 {
		f.announce([]string{"4.5", "4.4", "4.6", "4.3"}[i%4])
		f.clock.Advance(3 * tick)
		for _, h := range f.hosts {
			f.sendAll(h)
		}
	}
	must.GreaterEq(t, 0.8*4.4*1000*4*tick.Seconds(), float64(len(f.sent)))
}

// A host without a share must find out that a limit was withdrawn, also if no other
// host reports it.
func TestHostWithoutShareProbes(t *testing.T) {
	f := newFleet(12, 1)
	f.announce("0")
	var l []*Backendlimit
	for _, h := range f.hosts {
		if f.sendAll(h); h.limits[keyOf(f.backend)].rank >= h.limits[keyOf(f.backend)].holders {
			l = append(l, h)
		}
	}
	must.Positive(t, len(l))
	asked := make(map[int]bool)
	for range 150 {
		f.clock.Advance(time.Second)
		for i, h := range l {
			n := len(f.sent)
			if f.sendAll(h); len(f.sent) > n {
				asked[i] = true
			}
		}
	}
	must.EqOp(t, len(l), len(asked))
}
