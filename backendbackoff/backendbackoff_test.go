package backendbackoff_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/backendbackoff"
	"celeryreach.example/celeryreach/logbuffer"
	"celeryreach.example/celeryreach/scripttest"
)

// fixture is one host and the backend servers c1, c2 and so on.
type fixture struct {
	clock   *clockwork.FakeClock
	backoff *backendbackoff.Backendbackoff
	log     *logbuffer.Logbuffer
	started map[string]int64
	date    string
}

func newFixture() *fixture {
	c, l := clockwork.NewFakeClockAt(time.Date(1984, time.April, 4, 0, 0, 0, 0, time.UTC)), new(logbuffer.Logbuffer)
	return &fixture{clock: c, log: l, started: make(map[string]int64), backoff: &backendbackoff.Backendbackoff{
		Clock: c, Log: log.NewWithOptions(l, log.Options{Formatter: log.LogfmtFormatter}),
	}}
}

func (w *fixture) backend(name string) backend.Backend {
	return backend.Backend{Name: name, Service: "listings", Started: w.started[name]}
}

// The scripts run with a clock that starts at Wed, 04 Apr 1984 00:00:00 GMT.
//
//	refuse NAME VALUE...  it refuses a request that was sent now, and states these times
//	answer NAME [AGO]     it serves a request that was sent now or some time ago
//	date [DATE]           sets the header Date of future responses
//	after DURATION        advances the clock
//	restart NAME          it restarts
//	[!] allow NAME        checks whether it may be sent requests
//	again NAME DURATION   checks the time until it may be sent requests
//	[!] recovering NAME   checks whether it has still to answer a request after its backoff
//	counts ACTIVE IGNORED MEANWHILE  checks the counts
//	log                   prints the log since the last call
func TestBackendbackoff(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			e.Values["fixture"] = newFixture()
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"refuse": refuse, "answer": answer, "date": date, "after": after, "restart": restart,
			"allow": allow, "again": again, "recovering": recovering, "counts": counts, "log": printLog,
		},
	})
}

func fixtureOf(ts *testscript.TestScript) *fixture { return ts.Value("fixture").(*fixture) }

func duration(ts *testscript.TestScript, a string) time.Duration {
	return scripttest.Scripttest{Script: ts}.Duration(a)
}

func refuse(ts *testscript.TestScript, _ bool, a []string) {
	w := fixtureOf(ts)
	w.backoff.Observe(w.backend(a[0]), w.clock.Now(), a[1:], w.date)
}

func answer(ts *testscript.TestScript, _ bool, a []string) {
	w := fixtureOf(ts)
	t := w.clock.Now()
	if len(a) > 1 {
		t = t.Add(-duration(ts, a[1]))
	}
	w.backoff.Observe(w.backend(a[0]), t, nil, w.date)
}

func date(ts *testscript.TestScript, _ bool, a []string) { fixtureOf(ts).date = strings.Join(a, " ") }

func after(ts *testscript.TestScript, _ bool, a []string) {
	fixtureOf(ts).clock.Advance(duration(ts, a[0]))
}

func restart(ts *testscript.TestScript, _ bool, a []string) { fixtureOf(ts).started[a[0]]++ }

func allow(ts *testscript.TestScript, neg bool, a []string) {
	w := fixtureOf(ts)
	if w.backoff.Allow(w.backend(a[0])) == neg {
		ts.Fatalf("allowed: %t", neg)
	}
}

func again(ts *testscript.TestScript, _ bool, a []string) {
	w := fixtureOf(ts)
	if d := w.backoff.RetryAfter(w.backend(a[0])); d != duration(ts, a[1]) {
		ts.Fatalf("allowed in %s", d)
	}
}

func recovering(ts *testscript.TestScript, neg bool, a []string) {
	w := fixtureOf(ts)
	if _, ok := w.backoff.Recovering(w.backend(a[0])); ok == neg {
		ts.Fatalf("recovering: %t", ok)
	}
}

func counts(ts *testscript.TestScript, _ bool, a []string) {
	b := fixtureOf(ts).backoff
	must.EqOp(scripttest.Scripttest{Script: ts}, strings.Join(a, " "), fmt.Sprint(b.Active(), b.Ignored(), b.SentMeanwhile()))
}

func printLog(ts *testscript.TestScript, _ bool, _ []string) {
	w := fixtureOf(ts)
	_, err := fmt.Fprint(ts.Stdout(), w.log.String())
	ts.Check(err)
	w.log = new(logbuffer.Logbuffer)
	w.backoff.Log = log.NewWithOptions(w.log, log.Options{Formatter: log.LogfmtFormatter})
}

// Whatever backend servers state and whenever, none may be sent a request before the
// latest end that it stated, and each may at that end.
func TestNoRequestBeforeLatestEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newFixture()
		end := make(map[string]time.Time)
		recovering := make(map[string]bool)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			b := rapid.SampledFrom([]string{"c1", "c2", "c3"}).Draw(t, "backend")
			n := w.clock.Now()
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				d := rapid.IntRange(0, 5000).Draw(t, "milliseconds")
				w.backoff.Observe(w.backend(b), n, []string{strconv.FormatFloat(float64(d)/1000, 'f', -1, 64)}, "")
				if u := n.Add(time.Duration(d) * time.Millisecond); u.After(n) {
					recovering[b] = true
					if u.After(end[b]) {
						end[b] = u
					}
				} else if !n.Before(end[b]) {
					recovering[b] = false
				}
			case 1:
				s := n.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * time.Millisecond)
				w.backoff.Observe(w.backend(b), s, nil, "")
				if !s.Before(end[b]) {
					recovering[b] = false
				}
			case 2:
				v := rapid.SampledFrom([]string{"", "-1", "soon", "NaN", "Inf", "1;2"}).Draw(t, "value")
				w.backoff.Observe(w.backend(b), n.Add(-time.Hour), []string{v}, "")
			default:
				w.clock.Advance(time.Duration(rapid.IntRange(1, 4000).Draw(t, "pause")) * time.Millisecond)
			}
			for _, b := range []string{"c1", "c2", "c3"} {
				n := w.clock.Now()
				must.EqOp(t, !n.Before(end[b]), w.backoff.Allow(w.backend(b)), must.Sprint(b))
				must.EqOp(t, max(end[b].Sub(n), 0), w.backoff.RetryAfter(w.backend(b)), must.Sprint(b))
				_, ok := w.backoff.Recovering(w.backend(b))
				must.EqOp(t, recovering[b] && !n.Before(end[b]), ok, must.Sprint(b))
			}
		}
	})
}

func BenchmarkAllow(b *testing.B) {
	w := newFixture()
	for i := range 120 {
		w.backoff.Observe(w.backend(fmt.Sprint("c", i)), w.clock.Now(), []string{"600"}, "")
	}
	v := w.backend("c7")
	for b.Loop() {
		w.backoff.Allow(v)
	}
}
