package edge

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/gateway"
	"celeryreach.example/celeryreach/ingress"
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
// host, which has that version, would not look at its own homes. Builds of landing 10 state
// the homes of the admission with the version in force when they send, and this build reads
// the version after the homes.
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
		ConfigVersion: 5, Homes: wire.Homes_LISTED, Regions: []string{"abuja"},
	}
	r := &request.Request{ID: "r1"}
	must.EqOp(t, "", e.resolveForwarded(m, r).Outcome)
	e.Gateway.HoldToHomes(r)
	must.EqOp(t, "abuja", r.Homes.String())
}
