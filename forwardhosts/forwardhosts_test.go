package forwardhosts_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/forwardhosts"
	"celeryreach.example/celeryreach/homes"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/reachability"
	"celeryreach.example/celeryreach/wire"
)

// Guards against requests forwarded to a host of an older build, to one that is cut off
// itself, to one that leaves or starts, and out of their homes.
func TestOnlyHostsThatCanServeAreTargets(t *testing.T) {
	l := []member.Member{
		{Name: "cut-off", Region: "lagos"},
		{Name: "far", Region: "abuja"},
		{Name: "leaving", Region: "lagos", Leaving: true},
		{Name: "near", Region: "lagos"},
		{Name: "older", Region: "lagos"},
		{Name: "partly", Region: "lagos"},
		{Name: "starting", Region: "lagos", Starting: true},
		{Name: "unheard", Region: "lagos"},
	}
	f := newForwardhosts(clockwork.NewFakeClock(), l)
	for n, lost := range map[string]uint32{"cut-off": 3, "far": 0, "leaving": 0, "near": 0, "partly": 1, "starting": 0} {
		f.Merge(heartbeat(n, lost, "c1", "c2", "c3"))
	}
	f.Merge(&wire.Heartbeat{From: &wire.Host{Name: "older"}})
	must.Eq(t, []string{"near", "far", "partly"}, names(f.Targets(homes.Homes{})))
	must.Eq(t, []string{"far"}, names(f.Targets(homes.Intersect([]string{"abuja"}))))
}

// Guards against a host that vouches for a backend server that it has not tried since
// another host lost it, so that a crash is taken for a lost link.
func TestReportsCountAfterTheyAreConfirmed(t *testing.T) {
	c := clockwork.NewFakeClock()
	f := newForwardhosts(c, []member.Member{{Name: "a"}})
	b := backend.Backend{Name: "c1"}
	n := c.Now()
	f.Merge(heartbeat("a", 0, "c1", "c2"))
	must.False(t, f.Reach(b, n))
	c.Advance(time.Second)
	f.Merge(heartbeat("a", 0, "c1", "c2"))
	must.True(t, f.Reach(b, n))
	f.Merge(heartbeat("a", 1, "c1", "c2"))
	must.False(t, f.Reach(b, n))
	must.True(t, f.Reach(backend.Backend{Name: "c2"}, n))
}

// Guards against a host with more lost backend servers than it can list that counts as
// reaching those that it left out.
func TestUnlistedBackendsAreOutOfReach(t *testing.T) {
	c := clockwork.NewFakeClock()
	f := newForwardhosts(c, []member.Member{{Name: "a"}})
	n := c.Now()
	c.Advance(time.Second)
	h := heartbeat("a", 1, "c1", "c2", "c3")
	h.UnreachableCount = 2
	f.Merge(h)
	must.False(t, f.Reach(backend.Backend{Name: "c2"}, n))
}

func newForwardhosts(c clockwork.Clock, l []member.Member) *forwardhosts.Forwardhosts {
	return &forwardhosts.Forwardhosts{
		Clock: c, Region: "lagos", Confirm: func([]uint32) {},
		Hosts: func() []member.Member { return append([]member.Member(nil), l...) },
	}
}

// heartbeat returns the heartbeat of a host that has lost the first of its backend servers.
func heartbeat(host string, lost uint32, backends ...string) *wire.Heartbeat {
	h := &wire.Heartbeat{From: &wire.Host{Name: host}, SendsForOthers: true, UnreachableCount: lost, UnreachableOf: uint32(len(backends))} //nolint:gosec // a few
	for _, b := range backends[:lost] {
		h.UnreachableBackends = append(h.UnreachableBackends, reachability.Hash(b))
	}
	return h
}

func names(l []member.Member) []string {
	var r []string
	for _, m := range l {
		r = append(r, m.Name)
	}
	return r
}
