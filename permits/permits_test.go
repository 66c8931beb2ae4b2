package permits

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/wire"
)

const (
	overage = 1.5
	slack   = 5.0
	tick    = 20 * time.Millisecond
)

// fleet simulates hosts that send requests to one backend server, and records what they
// send.
type fleet struct {
	clock       *clockwork.FakeClock
	backend     backend.Backend
	rate        float64
	members     []member.Member
	hosts       []*Permits
	partitioned func(from, to string) bool // whether two hosts cannot reach each other
	requests    int                        // permit requests between hosts
	sent        []time.Time
}

func newFleet(hosts, regions int, rate float64) *fleet {
	f := &fleet{
		clock: clockwork.NewFakeClock(), rate: rate, partitioned: func(string, string) bool { return false },
		backend: backend.Backend{Name: "c1", Service: "listings", Domain: "domain-0", Region: "region-0"},
	}
	for i := range hosts {
		f.members = append(f.members, member.Member{
			Name: fmt.Sprint("host-", i), PeerAddress: fmt.Sprint("host-", i),
			Domain: fmt.Sprint("domain-", i%(2*regions)), Region: fmt.Sprint("region-", i%regions),
		})
	}
	for _, m := range f.members {
		f.hosts = append(f.hosts, f.newHost(m))
	}
	f.clock.Advance(window)
	return f
}

// newHost returns a new process of a host.
func (f *fleet) newHost(m member.Member) *Permits {
	return &Permits{
		Clock: f.clock, Log: log.New(io.Discard), Self: m, Started: f.clock.Now(),
		Hosts: func() []member.Member { return f.members }, RemoteWeight: 0.15,
		Slots:   func(string) map[string]int { return map[string]int{"region-0": 12, "region-1": 36, "region-2": 36} },
		Rate:    func(string) float64 { return f.rate },
		Overage: overage, Slack: slack,
		Request: func(ctx context.Context, a string, q *wire.PermitRequest) (*wire.PermitResponse, error) {
			f.requests++
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			for i, v := range f.members {
				if v.PeerAddress == a && !f.partitioned(m.Name, v.Name) {
					return f.hosts[i].HandleRequest(q), nil
				}
			}
			return nil, errors.New("no answer")
		},
	}
}

// send lets a host send one request if it gets a permit.
func (f *fleet) send(host int) bool {
	_, ok := f.hosts[host].Get(context.Background(), f.backend)
	if ok {
		f.sent = append(f.sent, f.clock.Now())
	}
	return ok
}

// maxPerSecond returns the maximum number of requests sent in any second.
func (f *fleet) maxPerSecond() int {
	n, from := 0, 0
	for i, t := range f.sent {
		for t.Sub(f.sent[from]) >= time.Second {
			from++
		}
		n = max(n, i-from+1)
	}
	return n
}

// All hosts together must not send more requests than a cold backend server can handle.
// This must hold whenever callers arrive, however the hosts are partitioned, and when
// processes restart.
func TestSumOfPermits(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f := newFleet(rapid.IntRange(1, 40).Draw(r, "hosts"), rapid.IntRange(1, 3).Draw(r, "regions"), rapid.Float64Range(0, 30).Draw(r, "rate"))
		side := make(map[string]int)
		for _, m := range f.members {
			side[m.Name] = rapid.IntRange(0, 2).Draw(r, "side")
		}
		f.partitioned = func(x, y string) bool { return side[x] != side[y] }
		for range rapid.IntRange(20, 150).Draw(r, "ticks") {
			f.clock.Advance(tick)
			h := rapid.IntRange(0, len(f.hosts)-1).Draw(r, "host")
			if rapid.IntRange(0, 30).Draw(r, "restart") == 0 {
				f.hosts[h] = f.newHost(f.members[h])
			}
			for range rapid.IntRange(0, 25).Draw(r, "requests") {
				f.send(h)
			}
		}
		must.LessEq(t, f.rate*overage+slack, float64(f.maxPerSecond()))
	})
}

// Quotas must not stay unused at hosts without callers while callers of other hosts are
// refused.
func TestPermitsAreUsed(t *testing.T) {
	for _, v := range []struct {
		callers string
		hosts   func(i int) int
		least   float64
	}{
		{"at all hosts", func(i int) int { return i % 11 }, 0.8},
		{"in the region", func(i int) int { return 3 * (i % 4) }, 0.7},
		{"at one host", func(int) int { return 3 }, 0.7},
		{"in another region", func(i int) int { return 1 + 3*(i%4) }, 0.7},
	} {
		f := newFleet(11, 3, 9.8)
		const span = 20 * time.Second
		for i := range int(span / tick) {
			f.clock.Advance(tick)
			f.send(v.hosts(i))
		}
		u := float64(len(f.sent)) / span.Seconds() / (f.rate*overage + slack)
		t.Logf("callers %s: %.2f of the bound used, %d permit requests for %d requests", v.callers, u, f.requests, len(f.sent))
		must.GreaterEq(t, v.least, u)
	}
}

// A host that does not answer must not delay each request.
func TestUnreachableHostIsNotAskedAgain(t *testing.T) {
	f := newFleet(6, 1, 9.8)
	f.partitioned = func(string, string) bool { return true }
	for range 10 {
		f.clock.Advance(tick)
		for h := range f.hosts {
			f.send(h)
		}
	}
	must.LessEq(t, len(f.hosts)*grantersPerRegion, f.requests)
}

// A host in a partitioned failure domain must still get permits for the backend servers
// there.
func TestPartitionedDomainContinues(t *testing.T) {
	f := newFleet(12, 2, 9.8)
	in := func(n string) bool { return n == "host-0" || n == "host-4" || n == "host-8" }
	f.partitioned = func(x, y string) bool { return in(x) != in(y) }
	n := 0
	for range int(5 * time.Second / tick) {
		f.clock.Advance(tick)
		if f.send(4) {
			n++
		}
	}
	must.Greater(t, 5*10, n)
}

// A caller that leaves while its host requests a permit must not make the backend server
// unavailable to others.
func TestCanceledPermitRequest(t *testing.T) {
	f := newFleet(6, 1, 9.8)
	x, stop := context.WithCancel(context.Background())
	stop()
	for h := range f.hosts {
		d, _ := f.hosts[h].Get(x, f.backend)
		must.EqOp(t, 0, d)
		must.True(t, f.send(h))
	}
}

// Hosts that sum in different orders would round differently, and the quotas of regions
// would exceed the bound.
func TestQuotasAddUp(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f := newFleet(rapid.IntRange(3, 40).Draw(r, "hosts"), 3, 9.8)
		s := rapid.IntRange(1, 24).Draw(r, "slots")
		all := rapid.IntRange(3, 30).Draw(r, "permits")
		q := &wire.PermitRequest{Backend: "c1", Service: "listings", Domain: "domain-0", Region: "region-0"}
		sum := 0
		for _, h := range f.hosts[:3] { // one in each region
			h.Slots = func(string) map[string]int { return map[string]int{"region-0": s, "region-1": s, "region-2": s} }
			h.hosts = f.members
			sum += h.regionQuota(q, all)
		}
		must.EqOp(t, all, sum)
	})
}
