// Package timeline runs the events of a simulation in the order of simulated
// time.
package timeline

import (
	"container/heap"
	"time"

	"github.com/jonboulle/clockwork"
)

// Timeline is the clock and the event queue of a simulation.
type Timeline struct {
	// Clock is advanced to the time of each event.
	Clock *clockwork.FakeClock

	start        time.Time
	lastSequence int
	events       events
}

// New returns an empty timeline.
func New() *Timeline {
	c := clockwork.NewFakeClock()
	return &Timeline{Clock: c, start: c.Now()}
}

// Now returns the simulated time since the start.
func (t *Timeline) Now() time.Duration {
	return t.Clock.Since(t.start)
}

// At schedules a call of f. Events with the same time run in the order in which
// they were scheduled.
func (t *Timeline) At(at time.Duration, f func()) {
	t.lastSequence++
	heap.Push(&t.events, event{at: at, sequence: t.lastSequence, run: f})
}

// Run runs all events and calls after following each of them.
func (t *Timeline) Run(after func()) {
	for len(t.events) > 0 {
		e := heap.Pop(&t.events).(event)
		t.Clock.Advance(e.at - t.Now())
		e.run()
		after()
	}
}

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// events is a heap ordered by time.
type events []event

// Len implements heap.Interface.
func (s events) Len() int { return len(s) }

// Less implements heap.Interface.
func (s events) Less(i, j int) bool {
	if s[i].at != s[j].at {
		return s[i].at < s[j].at
	}
	return s[i].sequence < s[j].sequence
}

// Swap implements heap.Interface.
func (s events) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *events) Push(x any) { *s = append(*s, x.(event)) }

// Pop implements heap.Interface.
func (s *events) Pop() any {
	o := *s
	e := o[len(o)-1]
	*s = o[:len(o)-1]
	return e
}
