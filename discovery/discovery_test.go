package discovery_test

import (
	"io"
	"sort"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/rogpeppe/go-internal/testscript"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/discovery"
	"celeryreach.example/celeryreach/scripttest"
)

// doubtFor is how long after an outage entries may be missing.
const doubtFor = 2 * time.Second

// world is one host's list.
type world struct {
	clock     *clockwork.FakeClock
	discovery *discovery.Discovery
	usable    []string
	cold      map[string]bool
	revision  uint64
}

// The scripts tell what the store, or another host's copy of it, lists.
//
//	list NAME...        a list that shows the store as it is
//	doubt NAME...       a list from within two seconds of the store's return
//	cold NAME DURATION  a list with one more entry, which is cold
//	evacuate DOMAIN...  the domains that get nothing new
//	after DURATION      time passes
//	usable [NAME...]    which backend servers get new requests
//	[!] iscold NAME     whether one of them is cold
func TestDiscovery(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			w := &world{clock: clockwork.NewFakeClock()}
			w.discovery = &discovery.Discovery{
				Clock: w.clock, Log: log.New(io.Discard), WarmUp: func(string) time.Duration { return 3 * time.Second },
				Changed: w.changed,
			}
			e.Values["world"] = w
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"list":     func(ts *testscript.TestScript, _ bool, a []string) { on(ts).list(a, 0) },
			"doubt":    func(ts *testscript.TestScript, _ bool, a []string) { on(ts).list(a, doubtFor) },
			"evacuate": evacuate, "after": after, "usable": usable, "cold": cold, "iscold": isCold,
		},
	})
}

func on(ts *testscript.TestScript) *world {
	return ts.Value("world").(*world)
}

func (w *world) changed(l []backend.Backend, until func(string) time.Time) {
	w.usable = nil
	w.cold = make(map[string]bool)
	for _, b := range l {
		w.usable = append(w.usable, b.Name)
		w.cold[b.Name] = until(b.Name).After(w.clock.Now())
	}
	sort.Strings(w.usable)
}

func (w *world) list(names []string, doubt time.Duration) {
	w.revision++
	var l []backend.Backend
	for _, n := range names {
		l = append(l, backend.Backend{Name: n, Service: "listings", Domain: "lagos-1", Revision: w.revision})
	}
	w.discovery.Backends(l, w.clock.Now().Add(doubt))
}

func cold(ts *testscript.TestScript, _ bool, a []string) {
	w := on(ts)
	d := scripttest.Scripttest{Script: ts}.Duration(a[1])
	w.revision++
	w.discovery.Backends([]backend.Backend{{
		Name: a[0], Service: "listings", Domain: "lagos-1", ColdFor: d, Revision: w.revision,
	}}, time.Time{})
}

func evacuate(ts *testscript.TestScript, _ bool, a []string) {
	z := make(map[string]bool)
	for _, d := range a {
		z[d] = true
	}
	on(ts).discovery.Evacuated(z)
}

func after(ts *testscript.TestScript, _ bool, a []string) {
	w := on(ts)
	w.clock.Advance(scripttest.Scripttest{Script: ts}.Duration(a[0]))
	w.discovery.Sweep()
}

func usable(ts *testscript.TestScript, _ bool, a []string) {
	w := on(ts)
	if len(w.usable) != len(a) {
		ts.Fatalf("usable are %v", w.usable)
	}
	for i := range a {
		if w.usable[i] != a[i] {
			ts.Fatalf("usable are %v", w.usable)
		}
	}
}

// isCold NAME checks that a backend server is cold, ! isCold that it is not.
func isCold(ts *testscript.TestScript, neg bool, a []string) {
	if on(ts).cold[a[0]] == neg {
		ts.Fatalf("cold are %v", on(ts).cold)
	}
}
