// Package contention simulates the waiting line of a failure domain while one
// large client account sends several times its rate and most callers leave. It
// compares queues on the same arrivals.
package contention

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
	// hold is the mean time that a request holds a slot.
	hold = 20 * time.Millisecond
	// load is the part of the slots that all accounts use together at their
	// own rates.
	load = 0.7
	// excess is the large account's traffic in multiples of its rate.
	excess = 5
	// large is the large account's part of the load, at its own rate.
	large = 0.3
	// leaving is the part of the callers that leave, after leaveAfter on average.
	leaving    = 0.6
	leaveAfter = 300 * time.Millisecond
	maxWait    = time.Second
	sweepEvery = 50 * time.Millisecond
)

// Contention is one run. The same Seed gives the same arrivals whatever the
// queue is.
type Contention struct {
	// Seed makes the run repeatable.
	Seed uint64
	// For is the simulated time.
	For time.Duration
	// Fair tells to use package queue; false means one line in order of
	// arrival, as the first version had.
	Fair bool
	// Patience is that of the queue.
	Patience time.Duration

	time    *timeline.Timeline
	used    int
	line    line
	callers []*caller
	open    []*caller
}

// line is what a queue offers to the simulation.
type line struct {
	enter func(c *caller)
	leave func(c *caller)
	kick  func()
	sweep func()
}

// caller is one request with all that was drawn for it.
type caller struct {
	account int
	arrives time.Duration
	hold    time.Duration
	leaves  time.Duration // zero: stays
	gone    bool
	decided func() (slot.Slot, string, bool)
	leave   func()
	granted time.Duration
	refused time.Duration
	ended   time.Duration
	state   state
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

// Run simulates and returns the lines of a report.
func (c *Contention) Run() []string {
	c.time = timeline.New()
	c.line = c.first()
	if c.Fair {
		c.line = c.fair()
	}
	c.draw()
	for t := time.Duration(0); t < c.For; t += sweepEvery {
		c.time.At(t, func() { c.line.sweep() })
	}
	c.time.Run(c.settle)
	return c.report()
}

// draw fixes the whole run before it begins.
func (c *Contention) draw() {
	r := rand.New(rand.NewPCG(c.Seed, 0))
	for a := range accounts {
		e := c.rate(a)
		for t := time.Duration(0); ; {
			t += time.Duration(r.ExpFloat64() / e * float64(time.Second))
			if t >= c.For {
				break
			}
			v := &caller{account: a, arrives: t, hold: time.Duration(r.ExpFloat64() * float64(hold))}
			if r.Float64() < leaving {
				v.leaves = t + time.Duration(r.ExpFloat64()*float64(leaveAfter))
				c.time.At(v.leaves, func() { c.depart(v) })
			}
			c.callers = append(c.callers, v)
			c.time.At(t, func() { c.arrive(v) })
		}
	}
}

// rate returns an account's requests a second; the first account is the large
// one.
func (c *Contention) rate(account int) float64 {
	a := load * slots / hold.Seconds()
	if account == 0 {
		return excess * large * a
	}
	return (1 - large) * a / (accounts - 1)
}

func (c *Contention) arrive(v *caller) {
	c.open = append(c.open, v)
	c.line.enter(v)
	c.time.At(v.arrives+maxWait, func() {
		if v.state == waiting {
			c.line.leave(v)
			c.refuse(v)
		}
	})
}

func (c *Contention) depart(v *caller) {
	v.gone = true
	if v.state == waiting {
		c.line.leave(v)
		v.state = left
	}
}

// settle carries out the decisions that the queue made in the last event.
func (c *Contention) settle() {
	for a := true; a; {
		a = false
		k := c.open[:0]
		for _, v := range c.open {
			if v.state == waiting && v.decided != nil {
				a = c.decide(v) || a
			}
			if v.state == waiting {
				k = append(k, v)
			}
		}
		c.open = k
	}
}

func (c *Contention) decide(v *caller) bool {
	s, o, ok := v.decided()
	switch {
	case !ok:
		return false
	case o != "":
		c.refuse(v)
	default:
		v.state = running
		v.granted = c.time.Now()
		c.time.At(c.time.Now()+v.hold, func() {
			v.ended = c.time.Now()
			v.state = answered
			if v.gone {
				v.state = wasted
			}
			s.Release(result.Succeeded)
		})
	}
	return true
}

func (c *Contention) refuse(v *caller) {
	v.state = refused
	v.refused = c.time.Now()
}

func (c *Contention) acquire() (slot.Slot, bool) {
	if c.used >= slots {
		return slot.Slot{}, false
	}
	c.used++
	return slot.Slot{Release: func(result.Result) {
		c.used--
		c.line.kick()
	}}, true
}

func (c *Contention) fair() line {
	q := &queue.Queue{Clock: c.time.Clock, Acquire: c.acquire, Limit: 10_000, Patience: c.Patience}
	return line{
		enter: func(v *caller) {
			d, f := q.Enter(background, name(v.account), maxWait)
			v.leave = f
			v.decided = func() (slot.Slot, string, bool) {
				s, o, ok := d()
				return s, o.Outcome, ok
			}
		},
		leave: func(v *caller) { v.leave() },
		kick:  q.Kick,
		sweep: q.Sweep,
	}
}
