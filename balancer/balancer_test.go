package balancer

import (
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/health"
	"celeryreach.example/celeryreach/loadreport"
	"celeryreach.example/celeryreach/result"
	"celeryreach.example/celeryreach/scripttest"
	"celeryreach.example/celeryreach/slot"
)

// testBalancer is a balancer with its configuration, driven step by step.
type testBalancer struct {
	clock    *clockwork.FakeClock
	balancer *Balancer
	list     []backend.Backend
	owned    map[string]int
	slots    map[string]slot.Slot
	drained  string
	draw     int
}

func newTestBalancer() *testBalancer {
	r := &testBalancer{clock: clockwork.NewFakeClock(), owned: map[string]int{}, slots: map[string]slot.Slot{}}
	r.balancer = &Balancer{
		Clock:    r.clock,
		Backends: func() []backend.Backend { return r.list },
		Slots: func(b backend.Backend) int {
			if n, ok := r.owned[b.Name]; ok {
				return n
			}
			return b.Slots
		},
		OnReleased: func() {},
		OnDrained:  func(n, s string, d time.Duration) { r.drained = fmt.Sprint(n, " ", s, " ", d) },
		Random: func(n int) int {
			r.draw += 7
			return r.draw % n
		},
	}
	return r
}

// free returns how many requests each backend server accepts now.
func (r *testBalancer) free() string {
	n := map[string]int{}
	var l []slot.Slot
	for {
		s, ok := r.balancer.Acquire()
		if !ok {
			break
		}
		n[s.Backend.Name]++
		l = append(l, s)
	}
	for _, s := range l {
		s.Release(result.Unused)
	}
	var v []string
	for _, b := range r.list {
		v = append(v, fmt.Sprintf("%s=%d", b.Name, n[b.Name]))
	}
	sort.Strings(v)
	return strings.Join(v, " ")
}

// acquire takes a slot of the named backend server.
func (r *testBalancer) acquire(id, name string) bool {
	var l []slot.Slot
	ok := false
	for {
		s, found := r.balancer.Acquire()
		if found && s.Backend.Name == name {
			r.slots[id] = s
			ok = true
		} else if found {
			l = append(l, s)
		}
		if ok || !found {
			break
		}
	}
	for _, s := range l {
		s.Release(result.Unused)
	}
	return ok
}

func (r *testBalancer) edit(name string, f func(b *backend.Backend)) {
	l := append([]backend.Backend(nil), r.list...)
	for i := range l {
		if l[i].Name == name {
			f(&l[i])
		}
	}
	r.list = l
}

var results = map[string]result.Result{
	"Succeeded": result.Succeeded, "Shed": result.Shed, "Failed": result.Failed,
	"Canceled": result.Canceled, "Refused": result.Refused, "Unused": result.Unused,
}

type command = func(*testscript.TestScript, bool, []string)

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			e.Values["balancer"] = newTestBalancer()
			return nil
		},
		Cmds: map[string]command{
			"backend": func(s *testscript.TestScript, _ bool, a []string) {
				r := get(s)
				b := backend.Backend{Name: a[0], Slots: check(s).Number(a[1]), WarmUp: check(s).Duration(a[2])}
				r.list = append(append([]backend.Backend(nil), r.list...), b)
			},
			"remove": func(s *testscript.TestScript, _ bool, a []string) {
				get(s).list = slices.DeleteFunc(slices.Clone(get(s).list), func(b backend.Backend) bool { return b.Name == a[0] })
			},
			"own": func(s *testscript.TestScript, _ bool, a []string) { get(s).owned[a[0]] = check(s).Number(a[1]) },
			"operator": func(s *testscript.TestScript, _ bool, a []string) {
				get(s).edit(a[0], func(b *backend.Backend) { b.Draining = a[1] == "drains" })
			},
			"acquire": func(s *testscript.TestScript, neg bool, a []string) {
				must.EqOp(check(s), !neg, get(s).acquire(a[0], a[1]))
			},
			"release": func(s *testscript.TestScript, _ bool, a []string) { get(s).slots[a[0]].Release(results[a[1]]) },
			"answer":  answerCommand,
			"repeat": func(s *testscript.TestScript, _ bool, a []string) {
				for i := range check(s).Number(a[0]) {
					must.True(check(s), get(s).acquire("repeat", a[1]), must.Sprint(i))
					get(s).slots["repeat"].Release(results[a[2]])
					get(s).clock.Advance(minReleaseDelay)
				}
			},
			"probe":   probeCommand,
			"advance": func(s *testscript.TestScript, _ bool, a []string) { get(s).clock.Advance(check(s).Duration(a[0])) },
			"free": func(s *testscript.TestScript, _ bool, a []string) {
				must.EqOp(check(s), strings.Join(a, " "), get(s).free())
			},
			"drained": func(s *testscript.TestScript, _ bool, a []string) {
				get(s).balancer.Tick()
				must.EqOp(check(s), strings.Join(a, " "), get(s).drained)
			},
			"suspects": func(s *testscript.TestScript, _ bool, a []string) {
				var v []string
				for _, b := range get(s).balancer.ProbeTargets() {
					v = append(v, b.Name)
				}
				must.EqOp(check(s), strings.Join(a, " "), strings.Join(v, " "))
			},
		},
	})
}

func answerCommand(s *testscript.TestScript, _ bool, a []string) {
	h := http.Header{}
	for _, v := range a[2:] {
		if v == "draining" {
			h.Set(loadreport.DrainingHeader, "yes")
		} else {
			h.Set(loadreport.LoadHeader, v)
		}
	}
	get(s).slots[a[0]].OnResponse(check(s).Number(a[1]), h)
	must.MapEmpty(check(s), h)
}

func probeCommand(s *testscript.TestScript, _ bool, a []string) {
	h := health.Health{}
	for _, v := range a[1:] {
		h.Reached = h.Reached || v != "silent"
		h.Healthy = h.Healthy || v == "well"
		h.Report.Draining = h.Report.Draining || v == "draining"
	}
	get(s).balancer.HandleProbe(a[0], h)
}

func get(s *testscript.TestScript) *testBalancer { return s.Value("balancer").(*testBalancer) }

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 40} {
		for _, f := range []float64{0.5, 1} {
			b.Run(fmt.Sprintf("%d-%v", n, f), func(b *testing.B) {
				r := newTestBalancer()
				r.balancer.Random = nil
				for i := range n {
					r.list = append(r.list, backend.Backend{Name: strconv.Itoa(i), Slots: 4})
				}
				for range int(f*float64(4*n)) - 1 {
					_, _ = r.balancer.Acquire()
				}
				b.ReportAllocs()
				for b.Loop() {
					s, ok := r.balancer.Acquire()
					if !ok {
						b.Fatal("no slot")
					}
					s.Release(result.Succeeded)
				}
			})
		}
	}
}

func check(s *testscript.TestScript) scripttest.Scripttest { return scripttest.Scripttest{Script: s} }
