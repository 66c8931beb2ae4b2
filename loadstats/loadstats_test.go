package loadstats_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/loadstats"
	"celeryreach.example/celeryreach/observation"
	"celeryreach.example/celeryreach/wire"
)

// Guards against wrong observations when one of two hosts in a region is replaced by a
// process that counts from zero, and the other stops sending heartbeats. The planner
// must get the region's slots and load from the remaining host, only the failures of
// the last seconds, and no negative differences.
func TestObserve(t *testing.T) {
	c := clockwork.NewFakeClock()
	g := &loadstats.Loadstats{Clock: c, Window: 10 * time.Second, Timeout: 9 * time.Second}
	note := func(n string, i, answers, failures uint64) {
		g.Record(&wire.Heartbeat{
			From:    &wire.Host{Name: n, Incarnation: i, Region: "lagos"},
			Loads:   []*wire.Load{{Service: "Listings", Slots: 8, Busy: 2, Waiting: 1, Answers: answers, Failures: failures, AnswerNanoseconds: answers * 1000}},
			Origins: []*wire.Origin{{Service: "Listings", Region: "lagos", Lookups: answers}},
		})
	}
	see := func() observation.Observation {
		return g.Observe([]string{"Listings"}, []string{"lagos"})[0]
	}
	note("a", 1, 100, 0)
	note("b", 1, 100, 0)
	c.Advance(5 * time.Second)
	note("a", 1, 110, 10)
	note("b", 1, 120, 0)
	must.Eq(t, observation.Observation{
		Service: "Listings", Region: "lagos", Alive: true, Slots: 16, Demand: 6, Latency: 1000, Failures: 0.25, Callers: 1,
	}, see())
	note("b", 2, 0, 0)
	c.Advance(5 * time.Second)
	note("b", 2, 10, 0)
	must.EqOp(t, 10.0/30, see().Failures)
	c.Advance(5 * time.Second)
	note("b", 2, 10, 0)
	must.Eq(t, observation.Observation{Service: "Listings", Region: "lagos", Alive: true, Slots: 8, Demand: 3, Latency: 1000, Callers: 1}, see())
	c.Advance(10 * time.Second)
	must.Eq(t, observation.Observation{Service: "Listings", Region: "lagos"}, see())
}
