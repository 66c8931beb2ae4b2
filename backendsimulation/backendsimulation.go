// Package backendsimulation simulates the backend servers of a service while one of
// them is faulty, and compares balancers on the same requests.
package backendsimulation

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
	backendCount    = 12
	slotsPerBackend = 4
	meanWork        = 20 * time.Millisecond
	offeredLoad     = 0.6
	// faultStart is when the fault begins. Within recoveryTime after that, the
	// system should have handled the fault.
	faultStart    = 5 * time.Second
	recoveryTime  = 2 * time.Second
	maxWait       = time.Second
	tick          = time.Millisecond
	probeInterval = 2 * time.Second
	// cancelDelay is how long a backend server continues to work after a cancel.
	cancelDelay = 4 * time.Millisecond
)

// Backendsimulation is one simulation run.
type Backendsimulation struct {
	// Seed makes the run repeatable.
	Seed uint64
	// Duration is the simulated time; the fault begins at 5 s.
	Duration time.Duration
	// Fault is the kind of fault, one of Faults.
	Fault string
	// Baseline selects the balancer of the first version, the baseline.
	Baseline bool

	timeline *timeline.Timeline
	random   *rand.Rand
	backends []backend.Backend
	acquire  func() (slot.Slot, bool)
	queue    *queue.Queue
	balancer *balancer.Balancer
	running  []int
	counts   counts
}

// counts are the totals of a run.
type counts struct {
	sent, answered, failed, refused int
	// shed counts requests sent to a backend server with all slots busy.
	shed int
	// afterRecovery counts the requests sent to the faulty backend server after
	// the system should have handled the fault.
	afterRecovery int
	latencies     []time.Duration
}

// Faults returns the kinds of faults.
func Faults() []string {
	return []string{"none", "fails fast", "slow", "refuses", "leaves", "cold", "callers cancel", "health lies"}
}

// Run runs the simulation and returns a line of a report.
func (b *Backendsimulation) Run() string {
	b.timeline = timeline.New()
	b.random = rand.New(rand.NewPCG(b.Seed, 0))
	b.running = make([]int, backendCount)
	b.build()
	r := offeredLoad * backendCount * slotsPerBackend / meanWork.Seconds()
	for t := time.Duration(0); t < b.Duration; t += time.Duration(b.random.ExpFloat64() / r * float64(time.Second)) {
		w := time.Duration(b.random.ExpFloat64() * float64(meanWork))
		c := b.random.Float64() < 0.6
		b.timeline.At(t, func() { b.arrive(t, w, c) })
	}
	for t := time.Duration(0); t < b.Duration+maxWait; t += tick {
		b.timeline.At(t, func() {})
	}
	for t := probeInterval; t < b.Duration; t += probeInterval {
		b.timeline.At(t, b.probe)
	}
	b.timeline.At(faultStart, b.injectFault)
	b.timeline.Run(b.queue.Sweep)
	return b.report()
}

func (b *Backendsimulation) build() {
	for i := range backendCount {
		b.backends = append(b.backends, backend.Backend{Name: fmt.Sprint(i), Slots: slotsPerBackend, WarmUp: 8 * time.Second, Health: "/health"})
	}
	if b.Fault == "cold" {
		b.backends = b.backends[1:] // the first one is added when the fault begins
	}
	b.balancer = &balancer.Balancer{
		Clock: b.timeline.Clock, Backends: func() []backend.Backend { return b.backends }, OnReleased: func() {},
		Slots: func(v backend.Backend) int { return v.Slots }, Random: b.random.IntN,
	}
	b.acquire = b.balancer.Acquire
	if b.Baseline {
		b.acquire = b.baseline()
	}
	b.queue = &queue.Queue{Clock: b.timeline.Clock, Acquire: b.acquire, Limit: 10_000, NewestFirstAfter: 100 * time.Millisecond}
}

func (b *Backendsimulation) injectFault() {
	if b.Fault == "cold" {
		b.backends = append([]backend.Backend{{Name: "0", Slots: slotsPerBackend, WarmUp: 8 * time.Second, Health: "/health"}}, b.backends...)
	}
}

// probe simulates the health endpoints, which report the real state except for
// the fault "health lies".
func (b *Backendsimulation) probe() {
	for _, v := range b.balancer.ProbeTargets() {
		a := v.Name == "0" && b.faulty() && (b.Fault == "refuses" || b.Fault == "fails fast")
		h := health.Health{Reached: !a || b.Fault != "refuses", Healthy: !a}
		if b.Fault == "health lies" {
			h = health.Health{Reached: true, Report: loadreport.Loadreport{Draining: true}}
		}
		b.balancer.HandleProbe(v.Name, h)
	}
}

func (b *Backendsimulation) faulty() bool {
	return b.timeline.Now() >= faultStart
}

// arrive adds a request to the queue and polls for its decision.
func (b *Backendsimulation) arrive(at, w time.Duration, cancels bool) {
	b.counts.sent++
	d, _ := b.queue.Enqueue(context.Background(), "a", maxWait)
	var look func()
	look = func() {
		s, o, ok := d()
		switch {
		case !ok:
			b.timeline.At(b.timeline.Now()+tick, look)
		case o.Outcome != "":
			b.counts.refused++
		default:
			b.start(at, w, cancels, s)
		}
	}
	look()
}

// start runs a request on the backend server of s.
func (b *Backendsimulation) start(at, w time.Duration, cancels bool, s slot.Slot) {
	n := s.Backend.Name
	i := 0
	_, _ = fmt.Sscan(n, &i)
	a := i == 0 && b.faulty()
	if a && b.timeline.Now() >= faultStart+recoveryTime {
		b.counts.afterRecovery++
	}
	if a && b.Fault == "refuses" {
		b.end(at, time.Millisecond, s, result.Refused, http.StatusOK)
		return
	}
	if b.running[i] >= slotsPerBackend {
		b.counts.shed++
		b.end(at, time.Millisecond, s, result.Shed, http.StatusOK)
		return
	}
	b.running[i]++
	w, r, c := b.serve(a, w, cancels)
	e := w
	if r == result.Canceled {
		e += cancelDelay
	}
	b.timeline.At(b.timeline.Now()+e, func() { b.running[i]-- })
	b.end(at, w, s, r, c)
}

// serve returns the duration, the result and the status of a request that would
// take w without a fault.
func (b *Backendsimulation) serve(bad bool, w time.Duration, cancels bool) (time.Duration, result.Result, int) {
	switch {
	case bad && b.Fault == "fails fast":
		return time.Millisecond, result.Succeeded, http.StatusInternalServerError
	case bad && b.Fault == "slow":
		return 10 * w, result.Succeeded, http.StatusOK
	case bad && b.Fault == "cold":
		t := (b.timeline.Now() - faultStart).Seconds()
		return time.Duration(float64(w) * (1 + 9*max(0, 1-t/8))), result.Succeeded, http.StatusOK
	case cancels && b.Fault == "callers cancel":
		return w / 2, result.Canceled, http.StatusOK
	default:
		return w, result.Succeeded, http.StatusOK
	}
}

// end records the answer and releases the slot after the time w.
func (b *Backendsimulation) end(at, w time.Duration, s slot.Slot, r result.Result, status int) {
	b.timeline.At(b.timeline.Now()+w, func() {
		if r == result.Succeeded {
			h := http.Header{}
			if b.Fault == "leaves" && s.Backend.Name == "0" && b.faulty() {
				h.Set(loadreport.DrainingHeader, "yes")
			}
			s.OnResponse(status, h)
		}
		switch {
		case r == result.Canceled:
		case r == result.Succeeded && status == http.StatusOK:
			b.counts.answered++
			b.counts.latencies = append(b.counts.latencies, b.timeline.Now()-at)
		default:
			b.counts.failed++
		}
		s.Release(r)
	})
}

func (b *Backendsimulation) report() string {
	t := &b.counts
	slices.Sort(t.latencies)
	q := func(f float64) time.Duration {
		return t.latencies[int(f*float64(len(t.latencies)-1))].Round(100 * time.Microsecond)
	}
	return fmt.Sprintf("%d %d %d %d %d %d %s %s", t.sent, t.answered, t.failed, t.refused, t.shed, t.afterRecovery, q(0.5), q(0.99))
}
