package servicequeues_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/backendfaults"
	"celeryreach.example/celeryreach/block"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/domain"
	"celeryreach.example/celeryreach/fleet"
	"celeryreach.example/celeryreach/preset"
	"celeryreach.example/celeryreach/region"
	"celeryreach.example/celeryreach/service"
	"celeryreach.example/celeryreach/staleness"
)

// forever is a request duration that only a cancel ends.
const forever = time.Hour

// start runs a deployment with the failure domain n1 in region north and n2 in
// the region that the parameter second names.
func start(t *testing.T, hosts, backends int, second string, work time.Duration, edits ...func(*config.Config)) (context.Context, *fleet.Fleet) {
	t.Parallel()
	timeout := 2 * time.Second
	if work == forever {
		timeout = 50 * time.Second
	}
	ctx, c := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(c)
	f := &fleet.Fleet{
		Clock: clockwork.NewRealClock(), Log: log.New(io.Discard), HostsPerDomain: hosts, BackendsPerService: backends, Slots: 4, RequestDuration: work,
		Config: config.Config{
			Preset: "Ordinary",
			Presets: []preset.Preset{{
				Name: "Ordinary", ShiftCap: 0.1, ShiftInterval: time.Second, GrowthCap: 1, FloorFraction: 0.5,
				MaxWait: 2 * time.Second, LookupTTL: time.Second, RetryBudget: 0.5,
			}},
			Regions:      []region.Region{{Name: "north"}, {Name: "south"}},
			Domains:      []domain.Domain{{Name: "n1", Region: "north"}, {Name: "n2", Region: second}},
			Services:     []service.Service{{Name: "Pages", Prefix: "/pages/", Timeout: timeout}},
			Accounts:     []account.Account{{Name: "acme", Rate: 10000, Burst: 1000}},
			KeyStaleness: staleness.Staleness{Idempotent: time.Minute, NonIdempotent: time.Minute},
		},
	}
	for _, e := range edits {
		e(&f.Config)
	}
	t.Cleanup(func() { must.NoError(t, f.Stop()) })
	must.NoError(t, f.Start(ctx))
	return ctx, f
}

func slots(ctx context.Context, f *fleet.Fleet, host string) int {
	s, err := f.Status(ctx, host)
	if err != nil || len(s.Loads) == 0 {
		return 0
	}
	return s.Loads[0].Slots
}

// answer returns the backend server that answered a request to a host, empty if
// none did.
func answer(ctx context.Context, f *fleet.Fleet, host string) string {
	c, b, err := f.Send(ctx, host, "acme", http.MethodGet, "/pages/1", "")
	if err != nil || c != http.StatusOK {
		return ""
	}
	n, _, _ := strings.Cut(b, " ")
	return n
}

// All callers use the same one of two hosts, which owns half of the slots. This
// host borrows from the other one, which keeps one slot for its own next
// caller.
func TestSiblingLends(t *testing.T) {
	ctx, f := start(t, 2, 1, "south", 300*time.Millisecond)
	must.NoError(t, f.Await(ctx, "the division", func() bool { return slots(ctx, f, "n1-a") == 2 && slots(ctx, f, "n1-b") == 2 }))
	b := f.Backend("Pages-n1-1")
	overload(ctx, t, f, func() bool { return b.Busy() == 3 })
}

// overload keeps six requests at n1-a until the condition holds.
func overload(ctx context.Context, t *testing.T, f *fleet.Fleet, condition func() bool) {
	x, stop := context.WithCancel(ctx)
	const callers = 6
	d := make(chan struct{}, callers)
	for range callers {
		go func() {
			for x.Err() == nil {
				answer(x, f, "n1-a")
			}
			d <- struct{}{}
		}()
	}
	err := f.Await(ctx, "the overload", condition)
	stop()
	for range callers {
		<-d
	}
	must.NoError(t, err)
}

// The backend servers of a failure domain are gone. Its callers are answered by
// the backend servers of another failure domain, through the same host.
func TestForwarded(t *testing.T) {
	ctx, f := start(t, 1, 1, "south", 0)
	must.NoError(t, f.Await(ctx, "an answer", func() bool { return answer(ctx, f, "n1-a") == "Pages-n1-1" }))
	must.NoError(t, f.StopBackend("Pages-n1-1"))
	must.NoError(t, f.Await(ctx, "an answer from elsewhere", func() bool { return answer(ctx, f, "n1-a") == "Pages-n2-1" }))
}

// A failure domain loses its only host. The region's other host takes over the
// leased half of its slots, so that its backend servers do not stay idle.
func TestTakenOver(t *testing.T) {
	ctx, f := start(t, 1, 1, "north", 300*time.Millisecond)
	must.NoError(t, f.Await(ctx, "the division", func() bool { return slots(ctx, f, "n1-a") == 4 && slots(ctx, f, "n2-a") == 4 }))
	f.KillHost("n2-a")
	must.NoError(t, f.Await(ctx, "the slots", func() bool { return slots(ctx, f, "n1-a") > 4 }))
	overload(ctx, t, f, func() bool { return f.Backend("Pages-n2-1").Busy() > 0 })
}

// A backend server drains and sheds every request. All callers are answered by
// the other one, because a request that was refused before it ran can be
// retried.
func TestSheds(t *testing.T) {
	ctx, f := start(t, 1, 2, "south", 0)
	must.NoError(t, f.Await(ctx, "an answer", func() bool { return answer(ctx, f, "n1-a") != "" }))
	f.Backend("Pages-n1-1").SetFaults(backendfaults.Backendfaults{Drain: true})
	for range 50 {
		must.EqOp(t, "Pages-n1-2", answer(ctx, f, "n1-a"))
	}
}

// A caller cancels a request that runs in another region: its slot there must
// be free at once, not only at the request's deadline. Then the link is
// partitioned during the next request. No connection error is reported, but
// each end detects that the keep-alive messages of the other end are missing.
// The caller therefore receives an answer and the slot is freed.
func TestCancelAndLinkLoss(t *testing.T) {
	ctx, f := start(t, 1, 1, "south", forever)
	must.NoError(t, f.StopBackend("Pages-n1-1"))
	b := f.Backend("Pages-n2-1")
	send := func(x context.Context, end chan<- int) {
		c := http.StatusServiceUnavailable // not run: the hosts have just started
		for c == http.StatusServiceUnavailable && x.Err() == nil {
			c, _, _ = f.Send(x, "n1-a", "acme", http.MethodGet, "/pages/1", "")
		}
		end <- c
	}
	x, leave := context.WithCancel(ctx)
	d := make(chan int, 1)
	go send(x, d)
	must.NoError(t, f.Await(ctx, "the request", func() bool { return b.Busy() == 1 }))
	leave()
	must.Zero(t, <-d)
	must.NoError(t, f.Await(ctx, "the free slot", func() bool { return b.Busy() == 0 }))
	go send(ctx, d)
	must.NoError(t, f.Await(ctx, "the second request", func() bool { return b.Busy() == 1 }))
	f.Partition("n1", "n2")
	must.EqOp(t, http.StatusBadGateway, <-d)
	must.NoError(t, f.Await(ctx, "the free slot", func() bool { return b.Busy() == 0 }))
}

// After the failure of a region, look-ups send all its callers at once to
// another region with cold caches. That region accepts them only as fast as its
// growth cap allows and refuses the rest without running them, while its own
// callers are answered.
func TestGrowthCap(t *testing.T) {
	for _, v := range []struct {
		home string
		all  bool
	}{{"north", true}, {"south", false}} {
		t.Run(v.home, func(t *testing.T) { testGrowthCap(t, v.home, v.all) })
	}
}

func testGrowthCap(t *testing.T, home string, all bool) {
	const requests = 60
	ctx, f := start(t, 1, 1, "north", 0, func(c *config.Config) {
		c.Blocks = []block.Block{{Prefix: netip.MustParsePrefix("127.0.0.0/8"), Region: home}}
		c.Presets[0].GrowthCap = 0.1
		c.Presets[0].ShiftInterval = 30 * time.Second
	})
	must.NoError(t, f.Await(ctx, "the division", func() bool { return slots(ctx, f, "n1-a") == 4 && slots(ctx, f, "n2-a") == 4 }))
	must.NoError(t, f.Await(ctx, "an answer", func() bool { return answer(ctx, f, "n1-a") != "" }))
	n := 0
	for range requests {
		if answer(ctx, f, "n1-a") != "" {
			n++
		}
	}
	must.EqOp(t, all, n == requests, must.Sprint(n))
}
