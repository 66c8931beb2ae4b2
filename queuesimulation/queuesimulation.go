// Package queuesimulation simulates the queue of a failure domain while one large
// client account sends several times its rate and most callers leave. It
// compares queues on the same arrivals.
package queuesimulation

import (
	"math/rand/v2"
	"time"

	"celeryreach.example/celeryreach/queue"
	"celeryreach.example/celeryreach/result"
	"celeryreach.example/celeryreach/slot"
	"celeryreach.example/celeryreach/timeline"
)

const (
	accounts = 8
	slots    = 40
	// meanHold is the mean time that a request holds a slot.
	meanHold = 20 * time.Millisecond
	// baseLoad is the fraction of the slots that all accounts use together at
	// their own rates.
	baseLoad = 0.7
	// largeExcess is the large account's traffic as a multiple of its rate.
	largeExcess = 5
	// largeLoadFraction is the large account's fraction of the load, at its own
	// rate.
	largeLoadFraction = 0.3
	// leavingFraction is the fraction of the callers that leave, after
	// meanLeaveAfter on average.
	leavingFraction = 0.6
	meanLeaveAfter  = 300 * time.Millisecond
	maxWait         = time.Second
	sweepInterval   = 50 * time.Millisecond
)

// Queuesimulation is one simulation run. The same Seed gives the same arrivals for
// every queue.
type Queuesimulation struct {
	// Seed makes the run repeatable.
	Seed uint64
	// Duration is the simulated time.
	Duration time.Duration
	// Fair selects package queue; false selects a single queue in order of
	// arrival, as in the first version.
	Fair bool
	// NewestFirstAfter is the queue setting of the same name.
	NewestFirstAfter time.Duration

	timeline  *timeline.Timeline
	busySlots int
	queue     queueFuncs
	callers   []*caller
	undecided []*caller
}

// queueFuncs are the operations of a queue that the simulation uses.
type queueFuncs struct {
	enter     func(c *caller)
	leave     func(c *caller)
	grantFree func()
	sweep     func()
}

// caller is one request with its random parameters.
type caller struct {
	account   int
	arrivesAt time.Duration
	hold      time.Duration
	leavesAt  time.Duration // zero if the caller stays
	hasLeft   bool
	decided   func() (slot.Slot, string, bool)
	leave     func()
	grantedAt time.Duration
	refusedAt time.Duration
	endedAt   time.Duration
	state     state
}

type state int

const (
	waiting state = iota
	running
	refused
	left
	answered
	wasted
)

// Run runs the simulation and returns the lines of a report.
func (c *Queuesimulation) Run() []string {
	c.timeline = timeline.New()
	c.queue = c.fifoQueue()
	if c.Fair {
		c.queue = c.fairQueue()
	}
	c.schedule()
	for t := time.Duration(0); t < c.Duration; t += sweepInterval {
		c.timeline.At(t, func() { c.queue.sweep() })
	}
	c.timeline.Run(c.applyDecisions)
	return c.report()
}

// schedule draws all arrivals and departures before the run begins.
func (c *Queuesimulation) schedule() {
	r := rand.New(rand.NewPCG(c.Seed, 0))
	for a := range accounts {
		e := c.rate(a)
		for t := time.Duration(0); ; {
			t += time.Duration(r.ExpFloat64() / e * float64(time.Second))
			if t >= c.Duration {
				break
			}
			v := &caller{account: a, arrivesAt: t, hold: time.Duration(r.ExpFloat64() * float64(meanHold))}
			if r.Float64() < leavingFraction {
				v.leavesAt = t + time.Duration(r.ExpFloat64()*float64(meanLeaveAfter))
				c.timeline.At(v.leavesAt, func() { c.depart(v) })
			}
			c.callers = append(c.callers, v)
			c.timeline.At(t, func() { c.arrive(v) })
		}
	}
}

// rate returns an account's requests per second; the first account is the large
// one.
func (c *Queuesimulation) rate(account int) float64 {
	a := baseLoad * slots / meanHold.Seconds()
	if account == 0 {
		return largeExcess * largeLoadFraction * a
	}
	return (1 - largeLoadFraction) * a / (accounts - 1)
}

func (c *Queuesimulation) arrive(v *caller) {
	c.undecided = append(c.undecided, v)
	c.queue.enter(v)
	c.timeline.At(v.arrivesAt+maxWait, func() {
		if v.state == waiting {
			c.queue.leave(v)
			c.refuse(v)
		}
	})
}

func (c *Queuesimulation) depart(v *caller) {
	v.hasLeft = true
	if v.state == waiting {
		c.queue.leave(v)
		v.state = left
	}
}

// applyDecisions carries out the decisions that the queue made in the last event.
func (c *Queuesimulation) applyDecisions() {
	for a := true; a; {
		a = false
		k := c.undecided[:0]
		for _, v := range c.undecided {
			if v.state == waiting && v.decided != nil {
				a = c.decide(v) || a
			}
			if v.state == waiting {
				k = append(k, v)
			}
		}
		c.undecided = k
	}
}

func (c *Queuesimulation) decide(v *caller) bool {
	s, o, ok := v.decided()
	switch {
	case !ok:
		return false
	case o != "":
		c.refuse(v)
	default:
		v.state = running
		v.grantedAt = c.timeline.Now()
		c.timeline.At(c.timeline.Now()+v.hold, func() {
			v.endedAt = c.timeline.Now()
			v.state = answered
			if v.hasLeft {
				v.state = wasted
			}
			s.Release(result.Succeeded)
		})
	}
	return true
}

func (c *Queuesimulation) refuse(v *caller) {
	v.state = refused
	v.refusedAt = c.timeline.Now()
}

func (c *Queuesimulation) acquire() (slot.Slot, bool) {
	if c.busySlots >= slots {
		return slot.Slot{}, false
	}
	c.busySlots++
	return slot.Slot{Release: func(result.Result) {
		c.busySlots--
		c.queue.grantFree()
	}}, true
}

func (c *Queuesimulation) fairQueue() queueFuncs {
	q := &queue.Queue{Clock: c.timeline.Clock, Acquire: c.acquire, Limit: 10_000, NewestFirstAfter: c.NewestFirstAfter}
	return queueFuncs{
		enter: func(v *caller) {
			d, f := q.Enqueue(background, accountName(v.account), maxWait)
			v.leave = f
			v.decided = func() (slot.Slot, string, bool) {
				s, o, ok := d()
				return s, o.Outcome, ok
			}
		},
		leave:     func(v *caller) { v.leave() },
		grantFree: q.GrantFree,
		sweep:     q.Sweep,
	}
}
