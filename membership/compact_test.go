package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/membership"
	"celeryreach.example/celeryreach/wire"
)

func newNamedMembership(c clockwork.Clock, name string, incarnation uint64) *membership.Membership {
	m := newMembership(c)
	m.Self = func() member.Member {
		return member.Member{Name: name, Incarnation: incarnation, Domain: "lagos-1", Region: "lagos", CallerAddress: name + ":7000", PeerAddress: name + ":7001", OperatorAddress: name + ":7002"}
	}
	return m
}

// wireCopy returns a message as its receiver decodes it.
func wireCopy(t must.T, h *wire.Heartbeat) *wire.Heartbeat {
	b, err := proto.Marshal(h)
	must.NoError(t, err)
	r := new(wire.Heartbeat)
	must.NoError(t, proto.Unmarshal(b, r))
	return r
}

// Heartbeats are lost, a third host appears, and a process is replaced. In all
// cases a host must have its peer's list of hosts as soon as two messages in a
// row have arrived: the host's digest shows the peer that the list is missing,
// and the peer sends the list again. Otherwise a host could receive no traffic
// although its heartbeats arrive.
func TestHostListRecoversFromLostHeartbeats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := clockwork.NewFakeClock()
		a, b := newNamedMembership(c, "a", 1), newNamedMembership(c, "b", 1)
		last := b.Receive(nil)
		q, i := uint64(0), uint64(1)
		third := func() {
			q++
			a.Receive(&wire.Heartbeat{From: &wire.Host{Name: "c", Incarnation: 1 << 40, PeerAddress: "c:1"}, Sequence: q})
		}
		exchange := func(lost bool) {
			h := a.Receive(wireCopy(t, last))
			if !lost {
				last = b.Receive(wireCopy(t, h))
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				third()
			case 1:
				c.Advance(4 * time.Second)
			case 2:
				i++
				b = newNamedMembership(c, "b", i)
				last = b.Receive(nil)
			case 3:
				exchange(true)
			default:
				exchange(false)
			}
		}
		third()
		exchange(false)
		exchange(false)
		exchange(false)
		h, ok := b.LastHeartbeat("a")
		must.True(t, ok)
		must.StrContains(t, fmt.Sprint(h.Known), "c:1")
	})
}

// BenchmarkHeartbeatBytes measures the bytes per second that one of n hosts sends
// and receives for its heartbeats, five a second with each peer, and compares them
// with heartbeats that always name every host and every account with demand.
func BenchmarkHeartbeatBytes(b *testing.B) {
	for _, n := range []int{11, 30, 100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var now, before int
			for b.Loop() {
				now, before = heartbeatTraffic(b, n)
			}
			b.ReportMetric(float64(now), "B/s")
			b.ReportMetric(float64(before), "before-B/s")
			b.ReportMetric(float64(before)/float64(now), "ratio")
		})
	}
}

func heartbeatTraffic(t must.T, n int) (now, before int) {
	c := clockwork.NewFakeClock()
	m := make([]*membership.Membership, n)
	for i := range m {
		m[i] = newNamedMembership(c, fmt.Sprint("lagos-1-host-", i), 1<<63)
		m[i].FillHeartbeat = func(h *wire.Heartbeat) {
			for _, k := range []string{"Config", "Plan", "Division"} {
				h.Versions = append(h.Versions, &wire.Version{Kind: k, Version: 1 << 16, Hash: "0123456789abcdef"})
			}
			for i := range 8 * boolInt(h.Full) {
				h.Demands = append(h.Demands, &wire.Demand{Account: fmt.Sprint("account-", i), Rate: 12.5})
			}
		}
	}
	all := m[0].Receive(nil)
	for i := range m[1:] {
		all.Known = append(all.Known, m[i+1].Receive(nil).From)
	}
	extra := 0
	for _, k := range all.Known {
		extra += proto.Size(k) + 2
	}
	const hashes, demands = 3 * 48, 8 * 22
	const warm, rounds = 10, 25
	for r := range warm + rounds {
		for i := 1; i < n; i++ {
			h := m[0].Receive(&wire.Heartbeat{From: m[i].Receive(nil).From})
			g := m[i].Receive(wireCopy(t, h))
			m[0].Receive(wireCopy(t, g))
			if r >= warm {
				s := proto.Size(h) + proto.Size(g)
				now += s
				before += 2 * (proto.Size(all.From) + extra + hashes + demands + 60)
			}
		}
		c.Advance(interval)
	}
	return now * 5 / rounds, before * 5 / rounds
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// BenchmarkKnown measures how long a host of one region among three takes to count the hosts of
// all, of which one has left.
func BenchmarkKnown(b *testing.B) {
	for _, n := range []int{11, 91} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := clockwork.NewFakeClock()
			m := newNamedMembership(c, "self", 1)
			var all []*wire.Host
			for i := range n {
				all = append(all, &wire.Host{Name: fmt.Sprint("host-", i), Incarnation: uint64(i + 2), Region: fmt.Sprint(i % 3), PeerAddress: fmt.Sprint(i), Leaving: i == 0})
			}
			for i, h := range all {
				if i%3 == 0 || i < 9 {
					m.Receive(&wire.Heartbeat{From: h, Known: all[:n/3], KnownDigest: 1, Sequence: 1, Full: true})
				}
			}
			for b.Loop() {
				c.Advance(100 * time.Millisecond)
				must.SliceNotEmpty(b, m.Known())
			}
		})
	}
}
