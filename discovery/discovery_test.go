package discovery_test

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

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/discovery"
	"celeryreach.example/celeryreach/scripttest"
	"celeryreach.example/celeryreach/wire"
)

const (
	// uncertainFor is how long after an outage of the store entries may be missing.
	uncertainFor = 2 * time.Second
	// lapseTime is how long after its last report the entry of a process lapses.
	lapseTime = 4500 * time.Millisecond
)

// fixture is the discovery of one host.
type fixture struct {
	clock     *clockwork.FakeClock
	discovery *discovery.Discovery
	usable    []string
	cold      map[string]bool
	revision  uint64
	uncertain time.Time // until when entries may be missing
	notified  int

	silent      bool // the store does not answer
	steadySince time.Time
}

// TestDiscovery runs the scripts in testdata with the lists that a host reads from the
// store or from another host's copy. They have these commands:
//
//	list NAME[@START[+NUMBER][!]]...  sets the list; + is followed by the report's number, ! tells that it drains, and the
//	                                  whole may be followed by =ADDRESS; entries missing from it are dropped at once
//	doubt NAME[@START]... as list, but within 2 s after a store outage; missing entries are kept
//	cold NAME DURATION    sets a list with one entry, which is cold
//	evacuate DOMAIN...    sets the evacuated failure domains
//	leaving NAME[@START]  a response of a backend server states that it leaves
//	told HOST NAME[@START]  another host's heartbeat reports that
//	news [NAME[@START]...]  checks what this host reports in heartbeats
//	notified NUMBER       checks how often other hosts were to be told at once
//	after DURATION        advances the clock
//	silent, answers       the store stops or resumes answering
//	usable [NAME...]      checks which backend servers get new requests
//	marked NUMBER         checks how many listed backend servers stated that they leave
//	[!] iscold NAME       checks whether a backend server is cold
func TestDiscovery(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			w := &fixture{clock: clockwork.NewFakeClock()}
			w.discovery = &discovery.Discovery{
				Clock: w.clock, Log: log.New(io.Discard), WarmUp: func(string) time.Duration { return 3 * time.Second },
				OnChange: w.changed, Notify: func() { w.notified++ }, UncertainUntil: func() time.Time { return w.uncertain },
				LapseTime: lapseTime, SteadySince: w.steady,
			}
			e.Values["fixture"] = w
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"list":     func(ts *testscript.TestScript, _ bool, a []string) { fixtureOf(ts).list(a, 0) },
			"doubt":    func(ts *testscript.TestScript, _ bool, a []string) { fixtureOf(ts).list(a, uncertainFor) },
			"evacuate": evacuate, "after": after, "usable": usable, "cold": cold, "iscold": isCold, "leaving": leaving, "marked": marked,
			"told": told, "news": news, "notified": notified, "silent": silent, "answers": answers,
		},
	})
}

func fixtureOf(ts *testscript.TestScript) *fixture {
	return ts.Value("fixture").(*fixture)
}

func (w *fixture) changed(l []backend.Backend, until func(string) time.Time) {
	w.usable = nil
	w.cold = make(map[string]bool)
	for _, b := range l {
		w.usable = append(w.usable, b.Name)
		w.cold[b.Name] = until(b.Name).After(w.clock.Now())
	}
	sort.Strings(w.usable)
}

func (w *fixture) list(names []string, doubt time.Duration) {
	w.revision++
	var l []backend.Backend
	for _, n := range names {
		n, a, _ := strings.Cut(n, "=")
		n, d := strings.CutSuffix(n, "!")
		n, q, _ := strings.Cut(n, "+")
		n, t := process(n)
		l = append(l, backend.Backend{
			Name: n, Address: a, Service: "listings", Domain: "lagos-1", Started: t, Revision: w.revision, Sequence: number(q), Draining: d,
		})
	}
	if !w.uncertain.After(w.clock.Now()) { // otherwise the outage is the same one
		w.uncertain = w.clock.Now().Add(doubt)
		if doubt > 0 {
			w.steadySince = w.clock.Now()
		}
	}
	w.discovery.SetBackends(l)
}

// process returns the name and the start of NAME[@START].
func process(a string) (name string, started int64) {
	name, v, ok := strings.Cut(a, "@")
	if !ok {
		return name, 0
	}
	return name, number(v)
}

// number returns the number that a script has, zero for none.
func number(a string) int64 {
	if a == "" {
		return 0
	}
	n, err := strconv.ParseInt(a, 10, 64)
	if err != nil {
		panic(err) // the script has it
	}
	return n
}

func silent(ts *testscript.TestScript, _ bool, _ []string) {
	fixtureOf(ts).silent = true
}

func answers(ts *testscript.TestScript, _ bool, _ []string) {
	w := fixtureOf(ts)
	w.silent, w.steadySince = false, w.clock.Now()
}

// steady returns since when the store has answered without an outage.
func (w *fixture) steady() time.Time {
	if w.silent {
		return w.clock.Now()
	}
	return w.steadySince
}

func leaving(ts *testscript.TestScript, _ bool, a []string) {
	n, t := process(a[0])
	fixtureOf(ts).discovery.MarkLeaving(n, t)
}

func told(ts *testscript.TestScript, _ bool, a []string) {
	n, t := process(a[1])
	fixtureOf(ts).discovery.Merge(a[0], []*wire.LeavingBackend{{Backend: n, Started: t}})
}

func news(ts *testscript.TestScript, _ bool, a []string) {
	var l []string
	for _, v := range fixtureOf(ts).discovery.Departures() {
		l = append(l, fmt.Sprintf("%s@%d", v.GetBackend(), v.GetStarted()))
	}
	sort.Strings(l)
	if strings.Join(l, " ") != strings.Join(a, " ") {
		ts.Fatalf("reported: %v", l)
	}
}

func notified(ts *testscript.TestScript, _ bool, a []string) {
	if n := fixtureOf(ts).notified; strconv.Itoa(n) != a[0] {
		ts.Fatalf("notified %d times", n)
	}
}

func marked(ts *testscript.TestScript, _ bool, a []string) {
	if n := fixtureOf(ts).discovery.Leaving(); strconv.Itoa(n) != a[0] {
		ts.Fatalf("%d backend servers are marked", n)
	}
}

func cold(ts *testscript.TestScript, _ bool, a []string) {
	w := fixtureOf(ts)
	d := scripttest.Scripttest{Script: ts}.Duration(a[1])
	w.revision++
	w.discovery.SetBackends([]backend.Backend{{
		Name: a[0], Service: "listings", Domain: "lagos-1", ColdFor: d, Revision: w.revision,
	}})
}

func evacuate(ts *testscript.TestScript, _ bool, a []string) {
	z := make(map[string]bool)
	for _, d := range a {
		z[d] = true
	}
	fixtureOf(ts).discovery.SetEvacuated(z)
}

func after(ts *testscript.TestScript, _ bool, a []string) {
	w := fixtureOf(ts)
	w.clock.Advance(scripttest.Scripttest{Script: ts}.Duration(a[0]))
	w.discovery.Sweep()
}

func usable(ts *testscript.TestScript, _ bool, a []string) {
	w := fixtureOf(ts)
	if len(w.usable) != len(a) {
		ts.Fatalf("usable backend servers: %v", w.usable)
	}
	for i := range a {
		if w.usable[i] != a[i] {
			ts.Fatalf("usable backend servers: %v", w.usable)
		}
	}
}

// isCold implements the command iscold: it checks that a backend server is cold, or with !
// that it isn't.
func isCold(ts *testscript.TestScript, neg bool, a []string) {
	if fixtureOf(ts).cold[a[0]] == neg {
		ts.Fatalf("cold backend servers: %v", fixtureOf(ts).cold)
	}
}
