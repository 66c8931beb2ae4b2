package servicequeues

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/result"
	"celeryreach.example/celeryreach/service"
	"celeryreach.example/celeryreach/snapshot"
)

// testQueues are the queues and balancers of a host with a fixed configuration.
type testQueues struct {
	clock   *clockwork.FakeClock
	queues  *Servicequeues
	domains []string
}

func newTestQueues() *testQueues {
	c := &config.Config{
		Services: []service.Service{{Name: "deposits"}, {Name: "rosters", SharedWith: "deposits", Deferrable: true}},
		Backends: []backend.Backend{
			{Name: "one", Domain: "lagos-1", Service: "deposits", Slots: 2},
			{Name: "two", Domain: "lagos-2", Service: "deposits", Slots: 1},
		},
	}
	s := snapshot.New(c, "")
	r := &testQueues{clock: clockwork.NewFakeClock(), domains: []string{"lagos-1"}}
	r.queues = &Servicequeues{
		Clock: r.clock, Domains: func() []string { return r.domains }, Snapshot: func() *snapshot.Snapshot { return s },
		Slots: func(b backend.Backend) int { return b.Slots },
	}
	return r
}

// A failure domain loses its only host, and its backend servers are idle.
// Another host of the region receives the slots of these backend servers, and
// uses them until the failure domain has a host again.
func TestTakeover(t *testing.T) {
	r := newTestQueues()
	x, f := context.WithCancel(t.Context())
	d := make(chan error, 1)
	go func() { d <- r.queues.Run(x) }()
	slots := func() uint32 { return r.queues.Loads()[0].Slots }
	must.NoError(t, r.clock.BlockUntilContext(x, 1))
	must.EqOp(t, 2, slots())
	for _, v := range []struct {
		domains []string
		slots   uint32
	}{{[]string{"lagos-1", "lagos-2"}, 3}, {[]string{"lagos-1"}, 2}} {
		r.domains = v.domains
		r.clock.Advance(sweepInterval)
		must.NoError(t, r.clock.BlockUntilContext(x, 1))
		must.EqOp(t, v.slots, slots())
	}
	f()
	must.NoError(t, <-d)
}

// Roster exports use the backend servers of deposits. A deposit that arrives
// while one export runs and another one waits is served before the waiting
// export.
func TestSharedBackends(t *testing.T) {
	r := newTestQueues()
	first, o := r.queues.Queue("rosters").Wait(t.Context(), "a", time.Minute)
	must.EqOp(t, "", o.Outcome)
	c := make(chan string, 1)
	go func() {
		_, o := r.queues.Queue("rosters").Wait(t.Context(), "a", time.Minute)
		c <- o.Outcome
	}()
	must.NoError(t, r.clock.BlockUntilContext(t.Context(), 1))
	second, o := r.queues.Queue("deposits").Wait(t.Context(), "a", time.Minute)
	must.EqOp(t, "", o.Outcome)
	must.EqOp(t, "one", second.Backend.Name)
	first.Release(result.Succeeded)
	must.EqOp(t, "", <-c)
}
