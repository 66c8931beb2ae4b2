package placement_test

import (
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/rogpeppe/go-internal/testscript"

	"celeryreach.example/celeryreach/attempted"
	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/backendbackoff"
	"celeryreach.example/celeryreach/coldrate"
	"celeryreach.example/celeryreach/homes"
	"celeryreach.example/celeryreach/placement"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/result"
	"celeryreach.example/celeryreach/scripttest"
	"celeryreach.example/celeryreach/service"
)

// fixture is one host in region lagos that places requests.
type fixture struct {
	clock     *clockwork.FakeClock
	placement *placement.Placement
	coldUntil map[string]time.Time
	requests  map[string]*request.Request
	placedAt  map[string]string
	filled    int
}

// TestPlacement runs the scripts in testdata, which place requests of one service. The
// scripts use these commands:
//
//	servers NAME[:SLOTS][@REGION]... sets the backend servers; by default with 2 slots in lagos
//	cold NAME DURATION               makes a backend server cold as of the next servers
//	[!] take ID OBJECT PRIORITY [homes=REGION] [not=NAME]
//	                                 places a request; with ! checks that it finds no backend server
//	[!] at ID NAME                   checks the backend server of a request
//	[!] same ID OTHER                checks that two requests are at the same backend server
//	fill OBJECT COUNT                places requests and keeps them active
//	end ID RESULT                    releases a request: Succeeded, Shed, Failed, Refused, Canceled
//	deny ID DURATION                 denies a request the permit for its backend server
//	again ID DURATION                checks the time until a request may be placed
//	backoff ID DURATION              the backend server of a request refuses it and wants none for that time
//	answer ID [AGO]                  the backend server of a request serves it; it was sent now or some time ago
//	report NAME RUNNING WAITING      reports the load of a backend server
//	after DURATION                   advances the clock
func TestPlacement(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			w := &fixture{
				clock: clockwork.NewFakeClock(), coldUntil: make(map[string]time.Time),
				requests: make(map[string]*request.Request), placedAt: make(map[string]string),
			}
			w.placement = &placement.Placement{
				Clock: w.clock, Region: "lagos", RemoteWeight: 0.15, ColdCapacity: func(string) (float64, time.Duration) { return 1, 3 * time.Second },
				Backoff:  &backendbackoff.Backendbackoff{Clock: w.clock, Log: log.New(io.Discard)},
				ColdRate: &coldrate.Coldrate{Self: "a", Hosts: func() []string { return []string{"a"} }, Overage: 1.5, Slack: 1},
			}
			e.Values["fixture"] = w
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"servers": servers, "cold": cold, "take": take, "at": at, "same": same, "fill": fill, "end": end, "deny": deny, "again": again,
			"backoff": backoff, "answer": answer,
			"report": report, "after": after,
		},
	})
}

func fixtureOf(ts *testscript.TestScript) *fixture {
	return ts.Value("fixture").(*fixture)
}

func servers(ts *testscript.TestScript, _ bool, a []string) {
	w := fixtureOf(ts)
	var l []backend.Backend
	for _, v := range a {
		n, r, ok := strings.Cut(v, "@")
		if !ok {
			r = "lagos"
		}
		n, c, ok := strings.Cut(n, ":")
		if !ok {
			c = "2"
		}
		l = append(l, backend.Backend{
			Name: n, Service: "listings", Region: r, Slots: scripttest.Scripttest{Script: ts}.Number(c),
		})
	}
	w.placement.Set(l, func(n string) time.Time { return w.coldUntil[n] })
}

func cold(ts *testscript.TestScript, _ bool, a []string) {
	w := fixtureOf(ts)
	w.coldUntil[a[0]] = w.clock.Now().Add(scripttest.Scripttest{Script: ts}.Duration(a[1]))
}

func take(ts *testscript.TestScript, neg bool, a []string) {
	w := fixtureOf(ts)
	r := &request.Request{
		ID: a[0], Object: a[1], Route: "view", Priority: scripttest.Scripttest{Script: ts}.Number(a[2]),
		Service: service.Service{Name: "listings"}, AttemptedBackends: new(attempted.Attempted),
	}
	for _, v := range a[3:] {
		if h, ok := strings.CutPrefix(v, "homes="); ok {
			r.Homes = homes.Intersect([]string{h})
		}
		if n, ok := strings.CutPrefix(v, "not="); ok {
			r.AttemptedBackends.Add(n)
		}
	}
	b, ok, _ := w.placement.Acquire(r)
	if ok == neg {
		ts.Fatalf("request %s was placed at %q", a[0], b.Name)
	}
	w.requests[a[0]], w.placedAt[a[0]] = r, b.Name
}

func at(ts *testscript.TestScript, neg bool, a []string) {
	if w := fixtureOf(ts); (w.placedAt[a[0]] == a[1]) == neg {
		ts.Fatalf("request %s is at %s", a[0], w.placedAt[a[0]])
	}
}

func same(ts *testscript.TestScript, neg bool, a []string) {
	w := fixtureOf(ts)
	if (w.placedAt[a[0]] == w.placedAt[a[1]]) == neg {
		var l []string
		for k, v := range w.placedAt {
			l = append(l, k+" at "+v)
		}
		sort.Strings(l)
		ts.Fatalf("%s", strings.Join(l, ", "))
	}
}

func fill(ts *testscript.TestScript, _ bool, a []string) {
	w := fixtureOf(ts)
	for range (scripttest.Scripttest{Script: ts}).Number(a[1]) {
		w.filled++
		take(ts, false, []string{fmt.Sprint("fill-", w.filled), a[0], "0"})
	}
}

func end(ts *testscript.TestScript, _ bool, a []string) {
	w := fixtureOf(ts)
	for _, r := range []result.Result{result.Succeeded, result.Shed, result.Failed, result.Refused, result.Canceled} {
		if r.String() == a[1] {
			w.placement.Release(w.placedAt[a[0]], w.requests[a[0]], r)
		}
	}
}

func deny(ts *testscript.TestScript, _ bool, a []string) {
	w := fixtureOf(ts)
	w.placement.ReleaseUnsent(w.placedAt[a[0]], w.requests[a[0]], scripttest.Scripttest{Script: ts}.Duration(a[1]))
}

func again(ts *testscript.TestScript, _ bool, a []string) {
	w := fixtureOf(ts)
	if d := w.placement.RetryAfter(w.requests[a[0]]); d != (scripttest.Scripttest{Script: ts}).Duration(a[1]) {
		ts.Fatalf("may be placed in %s", d)
	}
}

func backoff(ts *testscript.TestScript, _ bool, a []string) {
	w, d := fixtureOf(ts), scripttest.Scripttest{Script: ts}.Duration(a[1])
	w.placement.Backoff.Observe(backend.Backend{Name: w.placedAt[a[0]]}, w.clock.Now(), []string{strconv.FormatFloat(d.Seconds(), 'f', -1, 64)}, "")
}

func answer(ts *testscript.TestScript, _ bool, a []string) {
	w := fixtureOf(ts)
	t := w.clock.Now()
	if len(a) > 1 {
		t = t.Add(-scripttest.Scripttest{Script: ts}.Duration(a[1]))
	}
	w.placement.Backoff.Observe(backend.Backend{Name: w.placedAt[a[0]]}, t, nil, "")
}

func report(ts *testscript.TestScript, _ bool, a []string) {
	s := scripttest.Scripttest{Script: ts}
	fixtureOf(ts).placement.RecordLoad(a[0], s.Number(a[1]), s.Number(a[2]))
}

func after(ts *testscript.TestScript, _ bool, a []string) {
	fixtureOf(ts).clock.Advance(scripttest.Scripttest{Script: ts}.Duration(a[0]))
}
