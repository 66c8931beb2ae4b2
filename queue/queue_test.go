package queue

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/result"
	"celeryreach.example/celeryreach/scripttest"
	"celeryreach.example/celeryreach/slot"
)

// testQueue is a queue over a number of slots, driven step by step.
type testQueue struct {
	clock     *clockwork.FakeClock
	queue     *Queue
	slots     int
	used      int
	weights   map[string]float64
	waiters   map[string]*waiter
	cancels   map[string]context.CancelFunc
	decisions map[string]decision
}

func newTestQueue() *testQueue {
	r := &testQueue{
		clock: clockwork.NewFakeClock(), weights: map[string]float64{}, waiters: map[string]*waiter{},
		cancels: map[string]context.CancelFunc{}, decisions: map[string]decision{},
	}
	r.queue = &Queue{
		Clock: r.clock, Limit: 1000, NewestFirstAfter: 100 * time.Millisecond, Acquire: r.acquire,
		Weight: func(a string) float64 { return r.weights[a] }, Slots: func() int { return r.slots },
	}
	return r
}

func (r *testQueue) acquire() (slot.Slot, bool) {
	if r.used >= r.slots {
		return slot.Slot{}, false
	}
	r.used++
	return slot.Slot{Release: func(result.Result) {
		r.used--
		r.queue.GrantFree()
	}}, true
}

func (r *testQueue) arrive(c *class, id, account string, d time.Duration) {
	x, f := context.WithCancel(context.Background())
	r.cancels[id] = f
	r.waiters[id] = r.queue.enter(x, c, account, d)
}

// state returns the decision of a request without waiting for it.
func (r *testQueue) state(id string) string {
	if _, ok := r.decisions[id]; !ok {
		select {
		case v := <-r.waiters[id].decision:
			r.decisions[id] = v
		default:
			return "waiting"
		}
	}
	if o := r.decisions[id].outcome; o.Outcome != "" {
		return fmt.Sprintf("%s ran=%s retry=%s", o.Outcome, o.Ran, o.RetryAfter)
	}
	return "granted"
}

// serveNext ends a request that holds a slot after the time d.
func (r *testQueue) serveNext(d time.Duration) {
	for id := range r.waiters {
		if _, ok := r.decisions[id]; !ok && r.state(id) == "granted" {
			r.clock.Advance(d)
			r.queue.Sweep()
			r.decisions[id].slot.Release(result.Succeeded)
			return
		}
	}
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			e.Values["queue"] = newTestQueue()
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"slots": func(s *testscript.TestScript, _ bool, a []string) {
				get(s).slots = check(s).Number(a[0])
				get(s).queue.GrantFree()
			},
			"limit": func(s *testscript.TestScript, _ bool, a []string) { get(s).queue.Limit = check(s).Number(a[0]) },
			"weight": func(s *testscript.TestScript, _ bool, a []string) {
				get(s).weights[a[0]] = float64(check(s).Number(a[1]))
			},
			"arrive": func(s *testscript.TestScript, _ bool, a []string) {
				get(s).arrive(&get(s).queue.urgent, a[0], a[1], check(s).Duration(a[2]))
			},
			"defer": func(s *testscript.TestScript, _ bool, a []string) {
				get(s).arrive(&get(s).queue.deferred, a[0], a[1], check(s).Duration(a[2]))
			},
			"burst": func(s *testscript.TestScript, _ bool, a []string) {
				for i := range check(s).Number(a[1]) {
					get(s).arrive(&get(s).queue.urgent, a[0]+strconv.Itoa(i+1), a[2], check(s).Duration(a[3]))
				}
			},
			"serve": func(s *testscript.TestScript, _ bool, a []string) {
				for range check(s).Number(a[0]) {
					get(s).serveNext(check(s).Duration(a[1]))
				}
			},
			"vanish": func(s *testscript.TestScript, _ bool, a []string) { get(s).cancels[a[0]]() },
			"free": func(s *testscript.TestScript, _ bool, a []string) {
				for _, v := range a {
					must.EqOp(check(s), "granted", get(s).state(v))
					get(s).decisions[v].slot.Release(result.Succeeded)
				}
			},
			"advance": func(s *testscript.TestScript, _ bool, a []string) { get(s).clock.Advance(check(s).Duration(a[0])) },
			"sweep":   func(s *testscript.TestScript, _ bool, _ []string) { get(s).queue.Sweep() },
			"expect": func(s *testscript.TestScript, _ bool, a []string) {
				for _, v := range a[1:] {
					must.EqOp(check(s), a[0], get(s).state(v), must.Sprint(v))
				}
			},
			"waiting": func(s *testscript.TestScript, _ bool, a []string) {
				must.EqOp(check(s), check(s).Number(a[0]), get(s).queue.Waiting())
			},
		},
	})
}

func get(s *testscript.TestScript) *testQueue { return s.Value("queue").(*testQueue) }

// If a request were granted a slot after it was refused, its answer would break
// off, or it would run although its caller received the response "not run".
// Arrivals, departures and releases in any order must give each request one
// decision, and never more grants than slots.
func TestOneDecision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newTestQueue()
		r.slots = rapid.IntRange(1, 4).Draw(t, "slots")
		r.queue.Limit = rapid.IntRange(1, 10).Draw(t, "limit")
		var granted []string
		n := 0
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				n++
				c := []*class{&r.queue.urgent, &r.queue.deferred}[rapid.IntRange(0, 1).Draw(t, "class")]
				d := time.Duration(rapid.IntRange(0, 500).Draw(t, "wait")) * time.Millisecond
				r.arrive(c, strconv.Itoa(n), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"), d)
			},
			"vanish": func(t *rapid.T) {
				if id := strconv.Itoa(rapid.IntRange(1, n+1).Draw(t, "who")); r.waiters[id] != nil {
					r.cancels[id]()
				}
			},
			"release": func(*rapid.T) {
				if len(granted) > 0 {
					r.decisions[granted[0]].slot.Release(result.Succeeded)
					granted = granted[1:]
				}
			},
			"advance": func(t *rapid.T) {
				r.clock.Advance(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
				r.queue.Sweep()
			},
			"": func(t *rapid.T) {
				waiting := 0
				for id, w := range r.waiters {
					_, was := r.decisions[id]
					v := r.state(id)
					switch {
					case v == "waiting":
						waiting++
					case v == "granted" && !was:
						granted = append(granted, id)
					}
					if was && len(w.decision) > 0 {
						t.Fatalf("a second decision for %s", id)
					}
				}
				must.EqOp(t, waiting, r.queue.Waiting())
				must.LessEq(t, r.slots, r.used)
				must.EqOp(t, len(granted), r.used)
				must.LessEq(t, 2*r.queue.Limit, waiting)
			},
		})
	})
}

// Requests of a small account must not wait behind those of a large one. While
// accounts are backlogged, each gets slot time in proportion to its weight,
// whatever the hold times of its requests are.
func TestFairShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newTestQueue()
		r.slots = 1
		hold := map[string]time.Duration{}
		got := map[string]float64{}
		for _, a := range []string{"a", "b", "c"} {
			r.weights[a] = float64(rapid.IntRange(1, 4).Draw(t, "weight"))
			hold[a] = time.Duration(rapid.IntRange(1, 30).Draw(t, "hold")) * time.Millisecond
			for i := range 250 {
				r.arrive(&r.queue.urgent, fmt.Sprint(a, i), a, time.Hour)
			}
		}
		for range 200 {
			for id := range r.waiters {
				if r.state(id) == "granted" {
					a := id[:1]
					got[a] += hold[a].Seconds() / r.weights[a]
					r.clock.Advance(hold[a])
					delete(r.waiters, id)
					r.decisions[id].slot.Release(result.Succeeded)
					break
				}
			}
		}
		for a, v := range got {
			for b, u := range got {
				must.InDelta(t, v, u, 0.07, must.Sprint(a, b, got))
			}
		}
	})
}

// A caller that closes its connection must not occupy a slot. A caller whose
// waiting time has ended must receive a refusal. Both use the goroutine and the
// timer of Wait.
func TestWait(t *testing.T) {
	r := newTestQueue()
	x, f := context.WithCancel(context.Background())
	c := make(chan string, 1)
	wait := func(x context.Context) {
		_, o := r.queue.Wait(x, "a", time.Second)
		c <- o.Outcome
	}
	go wait(x)
	must.NoError(t, r.clock.BlockUntilContext(t.Context(), 1))
	f()
	must.EqOp(t, "Left", <-c)
	go wait(context.Background())
	must.NoError(t, r.clock.BlockUntilContext(t.Context(), 1))
	r.clock.Advance(time.Second)
	must.EqOp(t, "NoCapacity", <-c)
	must.EqOp(t, 0, r.queue.Waiting())
}

func BenchmarkQueue(b *testing.B) {
	for _, n := range []int{8, 1000, 100_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			r := newTestQueue()
			r.queue.Limit = 2 * n
			for i := range n {
				r.queue.enter(b.Context(), &r.queue.urgent, strconv.Itoa(i%8), time.Hour)
			}
			r.slots = 1
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				// One request arrives, one is served, one leaves.
				q := r.queue
				w := q.enter(b.Context(), &q.urgent, strconv.Itoa(i%8), time.Hour)
				v := q.enter(b.Context(), &q.urgent, strconv.Itoa(i%8), time.Hour)
				_, _ = q.leave(v, outcome.Outcome{})
				q.GrantFree()
				r.used = 0
				_ = w
			}
		})
	}
}

func check(s *testscript.TestScript) scripttest.Scripttest { return scripttest.Scripttest{Script: s} }
