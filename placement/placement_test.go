package placement_test

import (
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rogpeppe/go-internal/testscript"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/coldpace"
	"celeryreach.example/celeryreach/placement"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/result"
	"celeryreach.example/celeryreach/scripttest"
	"celeryreach.example/celeryreach/service"
	"celeryreach.example/celeryreach/tried"
)

// world is one host in lagos that places requests.
type world struct {
	clock     *clockwork.FakeClock
	placement *placement.Placement
	cold      map[string]time.Time
	requests  map[string]*request.Request
	places    map[string]string
	count     int
}

// The scripts place requests of one service; a backend server has two slots if
// nothing else is said.
//
//	servers NAME[:SLOTS][@REGION]... the backend servers; lagos if no region is named
//	cold NAME DURATION               before servers: it is cold
//	[!] take ID OBJECT PRIORITY [homes=REGION] [not=NAME]   places a request; ! it must not find a place
//	at ID NAME                       where it is; [!] same ID OTHER
//	fill OBJECT COUNT                requests that stay
//	end ID RESULT                    Succeeded, Shed, Failed, Refused, Canceled
//	deny ID DURATION                 there is no permit to send it where it is
//	again ID DURATION                in which time it may be placed
//	report NAME RUNNING WAITING      what a backend server says of itself
//	after DURATION
func TestPlacement(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			w := &world{
				clock: clockwork.NewFakeClock(), cold: make(map[string]time.Time),
				requests: make(map[string]*request.Request), places: make(map[string]string),
			}
			w.placement = &placement.Placement{
				Clock: w.clock, Region: "lagos", Far: 0.15, Rate: func(string) (float64, time.Duration) { return 1, 3 * time.Second },
				Pace: &coldpace.Coldpace{Self: "a", Hosts: func() []string { return []string{"a"} }, Overage: 1.5, Slack: 1},
			}
			e.Values["world"] = w
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"servers": servers, "cold": cold, "take": take, "at": at, "same": same, "fill": fill, "end": end, "deny": deny, "again": again,
			"report": report, "after": after,
		},
	})
}

func on(ts *testscript.TestScript) *world {
	return ts.Value("world").(*world)
}

func servers(ts *testscript.TestScript, _ bool, a []string) {
	w := on(ts)
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
	w.placement.Set(l, func(n string) time.Time { return w.cold[n] })
}

func cold(ts *testscript.TestScript, _ bool, a []string) {
	w := on(ts)
	w.cold[a[0]] = w.clock.Now().Add(scripttest.Scripttest{Script: ts}.Duration(a[1]))
}

func take(ts *testscript.TestScript, neg bool, a []string) {
	w := on(ts)
	r := &request.Request{
		ID: a[0], Object: a[1], Route: "view", Priority: scripttest.Scripttest{Script: ts}.Number(a[2]),
		Service: service.Service{Name: "listings"}, Tried: new(tried.Tried),
	}
	for _, v := range a[3:] {
		if h, ok := strings.CutPrefix(v, "homes="); ok {
			r.Homes = func(region string) bool { return region == h }
		}
		if n, ok := strings.CutPrefix(v, "not="); ok {
			r.Tried.Add(n)
		}
	}
	b, ok, _ := w.placement.Take(r)
	if ok == neg {
		ts.Fatalf("%s is at %q", a[0], b.Name)
	}
	w.requests[a[0]], w.places[a[0]] = r, b.Name
}

func at(ts *testscript.TestScript, neg bool, a []string) {
	if w := on(ts); (w.places[a[0]] == a[1]) == neg {
		ts.Fatalf("%s is at %s", a[0], w.places[a[0]])
	}
}

func same(ts *testscript.TestScript, neg bool, a []string) {
	w := on(ts)
	if (w.places[a[0]] == w.places[a[1]]) == neg {
		var l []string
		for k, v := range w.places {
			l = append(l, k+" at "+v)
		}
		sort.Strings(l)
		ts.Fatalf("%s", strings.Join(l, ", "))
	}
}

func fill(ts *testscript.TestScript, _ bool, a []string) {
	w := on(ts)
	for range (scripttest.Scripttest{Script: ts}).Number(a[1]) {
		w.count++
		take(ts, false, []string{fmt.Sprint("fill-", w.count), a[0], "0"})
	}
}

func end(ts *testscript.TestScript, _ bool, a []string) {
	w := on(ts)
	for _, r := range []result.Result{result.Succeeded, result.Shed, result.Failed, result.Refused, result.Canceled} {
		if r.String() == a[1] {
			w.placement.Release(w.places[a[0]], w.requests[a[0]], r)
		}
	}
}

func deny(ts *testscript.TestScript, _ bool, a []string) {
	w := on(ts)
	w.placement.Deny(w.places[a[0]], w.requests[a[0]], scripttest.Scripttest{Script: ts}.Duration(a[1]))
}

func again(ts *testscript.TestScript, _ bool, a []string) {
	w := on(ts)
	if d := w.placement.Again(w.requests[a[0]]); d != (scripttest.Scripttest{Script: ts}).Duration(a[1]) {
		ts.Fatalf("in %s", d)
	}
}

func report(ts *testscript.TestScript, _ bool, a []string) {
	s := scripttest.Scripttest{Script: ts}
	on(ts).placement.Report(a[0], s.Number(a[1]), s.Number(a[2]))
}

func after(ts *testscript.TestScript, _ bool, a []string) {
	on(ts).clock.Advance(scripttest.Scripttest{Script: ts}.Duration(a[0]))
}
