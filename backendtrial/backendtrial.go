// Package backendtrial simulates the backend servers of a service while one of
// them is in trouble, and compares balancers on the same requests.
package backendtrial

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/balancer"
	"celeryreach.example/celeryreach/health"
	"celeryreach.example/celeryreach/loadreport"
	"celeryreach.example/celeryreach/queue"
	"celeryreach.example/celeryreach/result"
	"celeryreach.example/celeryreach/slot"
	"celeryreach.example/celeryreach/timeline"
)

const (
	count = 12
	slots = 4
	work  = 20 * time.Millisecond
	load  = 0.6
	// strikes is when the trouble begins, and late how long afterwards the
	// system should have dealt with it.
	strikes    = 5 * time.Second
	late       = 2 * time.Second
	maxWait    = time.Second
	tick       = time.Millisecond
	probeEvery = 2 * time.Second
	// notice is how long a backend server works on after a cancel.
	notice = 4 * time.Millisecond
)

// Backendtrial is one run.
type Backendtrial struct {
	// Seed makes the run repeatable.
	Seed uint64
	// For is the simulated time; trouble begins at 5 s.
	For time.Duration
	// Trouble is one of Troubles.
	Trouble string
	// First tells to use the first version's balancer, the baseline.
	First bool

	time     *timeline.Timeline
	random   *rand.Rand
	list     []backend.Backend
	acquire  func() (slot.Slot, bool)
	queue    *queue.Queue
	balancer *balancer.Balancer
	running  []int
	tally    tally
}

// tally is what happened.
type tally struct {
	sent, answered, failed, refused int
	// shed counts requests that met a backend server with all slots taken.
	shed int
	// afterwards counts the requests that the troubled one got when the
	// system should have dealt with it.
	afterwards int
	latencies  []time.Duration
}

// Troubles are the kinds of trouble.
func Troubles() []string {
	return []string{"none", "fails fast", "slow", "refuses", "leaves", "cold", "callers cancel", "health lies"}
}

// Run simulates and returns a line of a report.
func (b *Backendtrial) Run() string {
	b.time = timeline.New()
	b.random = rand.New(rand.NewPCG(b.Seed, 0))
	b.running = make([]int, count)
	b.build()
	r := load * count * slots / work.Seconds()
	for t := time.Duration(0); t < b.For; t += time.Duration(b.random.ExpFloat64() / r * float64(time.Second)) {
		w := time.Duration(b.random.ExpFloat64() * float64(work))
		c := b.random.Float64() < 0.6
		b.time.At(t, func() { b.arrive(t, w, c) })
	}
	for t := time.Duration(0); t < b.For+maxWait; t += tick {
		b.time.At(t, func() {})
	}
	for t := probeEvery; t < b.For; t += probeEvery {
		b.time.At(t, b.probe)
	}
	b.time.At(strikes, b.strike)
	b.time.Run(b.queue.Sweep)
	return b.report()
}

func (b *Backendtrial) build() {
	for i := range count {
		b.list = append(b.list, backend.Backend{Name: fmt.Sprint(i), Slots: slots, WarmUp: 8 * time.Second, Health: "/health"})
	}
	if b.Trouble == "cold" {
		b.list = b.list[1:] // the first appears later
	}
	b.balancer = &balancer.Balancer{
		Clock: b.time.Clock, Backends: func() []backend.Backend { return b.list }, Released: func() {},
		Slots: func(v backend.Backend) int { return v.Slots }, Random: b.random.IntN,
	}
	b.acquire = b.balancer.Acquire
	if b.First {
		b.acquire = b.first()
	}
	b.queue = &queue.Queue{Clock: b.time.Clock, Acquire: b.acquire, Limit: 10_000, Patience: 100 * time.Millisecond}
}

func (b *Backendtrial) strike() {
	if b.Trouble == "cold" {
		b.list = append([]backend.Backend{{Name: "0", Slots: slots, WarmUp: 8 * time.Second, Health: "/health"}}, b.list...)
	}
}

// probe plays the health endpoints, which tell the truth unless they lie.
func (b *Backendtrial) probe() {
	for _, v := range b.balancer.Suspects() {
		a := v.Name == "0" && b.struck() && (b.Trouble == "refuses" || b.Trouble == "fails fast")
		h := health.Health{Reached: !a || b.Trouble != "refuses", Healthy: !a}
		if b.Trouble == "health lies" {
			h = health.Health{Reached: true, Report: loadreport.Loadreport{Draining: true}}
		}
		b.balancer.Probed(v.Name, h)
	}
}

func (b *Backendtrial) struck() bool {
	return b.time.Now() >= strikes
}

// arrive lets a request wait for a slot; the events that follow look for it.
func (b *Backendtrial) arrive(at, w time.Duration, cancels bool) {
	b.tally.sent++
	d, _ := b.queue.Enter(context.Background(), "a", maxWait)
	var look func()
	look = func() {
		s, o, ok := d()
		switch {
		case !ok:
			b.time.At(b.time.Now()+tick, look)
		case o.Outcome != "":
			b.tally.refused++
		default:
			b.start(at, w, cancels, s)
		}
	}
	look()
}

// start runs a request on the backend server of s.
func (b *Backendtrial) start(at, w time.Duration, cancels bool, s slot.Slot) {
	n := s.Backend.Name
	i := 0
	_, _ = fmt.Sscan(n, &i)
	a := i == 0 && b.struck()
	if a && b.time.Now() >= strikes+late {
		b.tally.afterwards++
	}
	if a && b.Trouble == "refuses" {
		b.end(at, time.Millisecond, s, result.Refused, http.StatusOK)
		return
	}
	if b.running[i] >= slots {
		b.tally.shed++
		b.end(at, time.Millisecond, s, result.Shed, http.StatusOK)
		return
	}
	b.running[i]++
	w, r, c := b.course(a, w, cancels)
	e := w
	if r == result.Canceled {
		e += notice
	}
	b.time.At(b.time.Now()+e, func() { b.running[i]-- })
	b.end(at, w, s, r, c)
}

// course returns how a request runs that would take w without trouble.
func (b *Backendtrial) course(bad bool, w time.Duration, cancels bool) (time.Duration, result.Result, int) {
	switch {
	case bad && b.Trouble == "fails fast":
		return time.Millisecond, result.Succeeded, http.StatusInternalServerError
	case bad && b.Trouble == "slow":
		return 10 * w, result.Succeeded, http.StatusOK
	case bad && b.Trouble == "cold":
		t := (b.time.Now() - strikes).Seconds()
		return time.Duration(float64(w) * (1 + 9*max(0, 1-t/8))), result.Succeeded, http.StatusOK
	case cancels && b.Trouble == "callers cancel":
		return w / 2, result.Canceled, http.StatusOK
	default:
		return w, result.Succeeded, http.StatusOK
	}
}

// end gives the slot back after the time w.
func (b *Backendtrial) end(at, w time.Duration, s slot.Slot, r result.Result, status int) {
	b.time.At(b.time.Now()+w, func() {
		if r == result.Succeeded {
			h := http.Header{}
			if b.Trouble == "leaves" && s.Backend.Name == "0" && b.struck() {
				h.Set(loadreport.DrainingHeader, "yes")
			}
			s.Answered(status, h)
		}
		switch {
		case r == result.Canceled:
		case r == result.Succeeded && status == http.StatusOK:
			b.tally.answered++
			b.tally.latencies = append(b.tally.latencies, b.time.Now()-at)
		default:
			b.tally.failed++
		}
		s.Release(r)
	})
}

func (b *Backendtrial) report() string {
	t := &b.tally
	slices.Sort(t.latencies)
	q := func(f float64) time.Duration {
		return t.latencies[int(f*float64(len(t.latencies)-1))].Round(100 * time.Microsecond)
	}
	return fmt.Sprintf("%d %d %d %d %d %d %s %s", t.sent, t.answered, t.failed, t.refused, t.shed, t.afterwards, q(0.5), q(0.99))
}
