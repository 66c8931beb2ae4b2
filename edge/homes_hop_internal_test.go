package edge

import (
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/forwardhosts"
	"celeryreach.example/celeryreach/gateway"
	"celeryreach.example/celeryreach/homes"
	"celeryreach.example/celeryreach/ingress"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/service"
	"celeryreach.example/celeryreach/wire"
)

func homeConfig(region string) config.Config {
	return config.Config{
		Routes:   []ingress.Ingress{{Name: "view", Host: "camps.example", Prefix: "/listings/", Homes: []string{region}}},
		Services: []service.Service{{Name: "listings"}},
	}
}

func newEdge(version uint64, region string) *Edge {
	e := &Edge{Clock: clockwork.NewFakeClockAt(time.Unix(0, 0))}
	e.index.Store(newIndex(version, homeConfig(region)))
	e.Gateway = &gateway.Gateway{Clock: e.Clock, Index: e.index.Load}
	return e
}

// Guards against a message whose version is newer than the homes that it states: the other
// host, which has that version, would not look at its own homes.
func TestReceiverHoldsToOwnVersionIfSendersIsTheSame(t *testing.T) {
	for _, h := range []wire.Homes{wire.Homes_UNSTATED, wire.Homes_LISTED} {
		e := newEdge(2, "abuja")
		m := &wire.Request{
			PlacedBySender: true, Host: "camps.example", Target: "/listings/1", Service: "listings",
			ConfigVersion: 2, Homes: h, Regions: []string{"lagos"}, // of version 1
		}
		r := &request.Request{ID: "r1"}
		must.EqOp(t, "", e.resolveForwarded(m, r).Outcome)
		e.Gateway.HoldToHomes(r)
		must.False(t, r.Homes.Allows("lagos"), must.Sprintf("%s: held to %s", h, r.Homes))
	}
}

// Guards against a host that is behind and refuses requests that a newer version lets
// be served.
func TestHostThatIsBehindTakesNewerHomes(t *testing.T) {
	e := newEdge(3, "lagos")
	m := &wire.Request{
		PlacedBySender: true, Host: "camps.example", Target: "/listings/1", Service: "listings",
		ConfigVersion: 5, Homes: wire.Homes_LISTED, HomesVersion: 5, Regions: []string{"abuja"},
	}
	r := &request.Request{ID: "r1"}
	must.EqOp(t, "", e.resolveForwarded(m, r).Outcome)
	e.Gateway.HoldToHomes(r)
	must.EqOp(t, "abuja", r.Homes.String())
}

// Guards against a request, and its body, that is sent to another host outside its homes,
// since a version has moved these after the hosts were chosen.
func TestRequestIsOfferedInItsHomes(t *testing.T) {
	e := newEdge(1, "lagos")
	l := []member.Member{{Name: "lagos-1", Region: "lagos"}, {Name: "abuja-1", Region: "abuja"}}
	e.forwardHosts = &forwardhosts.Forwardhosts{Clock: e.Clock, Hosts: func() []member.Member { return slices.Clone(l) }, Confirm: func([]uint32) {}}
	for _, m := range l {
		e.forwardHosts.Merge(&wire.Heartbeat{From: &wire.Host{Name: m.Name}, SendsForOthers: true, UnreachableOf: 1})
	}
	r := &request.Request{ID: "r1", Host: "camps.example", Path: "/listings/1", Homes: homes.Intersect([]string{"lagos"}), HomesVersion: 1}
	must.Eq(t, l[:1], e.forwardTargets(r))
	must.True(t, e.mayForward(r, l[0]))
	must.False(t, e.mayForward(r, l[1]))
	e.index.Store(newIndex(2, homeConfig("abuja")))
	must.False(t, e.mayForward(r, l[0]))
	must.False(t, e.mayForward(r, l[1]))
	must.SliceEmpty(t, e.forwardTargets(r))
}

// Guards against a host that takes a request, and asks for its body, although by its own
// version it stands outside the homes.
func TestHostOutsideHomesTakesNoRequest(t *testing.T) {
	e := newEdge(2, "abuja")
	for g, want := range map[string]string{"abuja": "", "lagos": outcome.NoCapacity} {
		e.Self.Region = g
		r := &request.Request{ID: "r1", Host: "camps.example", Path: "/listings/1"}
		f, o := e.admitForwarded(r, "harcourt")
		must.EqOp(t, want, o.Outcome)
		if f != nil {
			f(o, 0)
		}
	}
}
