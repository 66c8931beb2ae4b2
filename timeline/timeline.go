// Package timeline runs events in the order of simulated time.
package timeline

import (
	"container/heap"
	"time"

	"github.com/jonboulle/clockwork"
)

// Timeline is a simulation's clock and what is to happen.
type Timeline struct {
	// Clock is moved to the time of each event.
	Clock *clockwork.FakeClock

	start  time.Time
	order  int
	events events
}

// New returns an empty timeline.
func New() *Timeline {
	c := clockwork.NewFakeClock()
	return &Timeline{Clock: c, start: c.Now()}
}

// Now returns the time since the start.
func (t *Timeline) Now() time.Duration {
	return t.Clock.Since(t.start)
}

// At has f called at a time. What is planned first for a time happens first.
func (t *Timeline) At(at time.Duration, f func()) {
	t.order++
	heap.Push(&t.events, event{at: at, order: t.order, do: f})
}

// Run lets everything happen, and calls after behind each event.
func (t *Timeline) Run(after func()) {
	for len(t.events) > 0 {
		e := heap.Pop(&t.events).(event)
		t.Clock.Advance(e.at - t.Now())
		e.do()
		after()
	}
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

// events is a heap by time.
type events []event

// Len is part of heap.Interface.
func (s events) Len() int { return len(s) }

// Less is part of heap.Interface.
func (s events) Less(i, j int) bool {
	if s[i].at != s[j].at {
		return s[i].at < s[j].at
	}
	return s[i].order < s[j].order
}

// Swap is part of heap.Interface.
func (s events) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push is part of heap.Interface.
func (s *events) Push(x any) { *s = append(*s, x.(event)) }

// Pop is part of heap.Interface.
func (s *events) Pop() any {
	o := *s
	e := o[len(o)-1]
	*s = o[:len(o)-1]
	return e
}
