package capacity

import (
	"context"
	"fmt"
	"time"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/balancer"
	"celeryreach.example/celeryreach/measurement"
	"celeryreach.example/celeryreach/queue"
	"celeryreach.example/celeryreach/result"
	"celeryreach.example/celeryreach/slot"
)

const (
	// queuedAccounts is the number of accounts that the waiting requests belong to.
	queuedAccounts  = 100
	slotsPerBackend = 4
)

// newQueue returns a queue of n waiting requests. They stay in the queue because no
// slot ever becomes free.
func (c *Capacity) newQueue(n int) *queue.Queue {
	q := &queue.Queue{Clock: c.Clock, Limit: 2 * n, Acquire: func() (slot.Slot, bool) { return slot.Slot{}, false }}
	for i := range n {
		q.Enqueue(context.Background(), accountName(i%queuedAccounts), time.Hour)
	}
	return q
}

// waitSize measures the memory of the queue only. The benchmark of waiting callers
// in package entry covers the caller's goroutines and connection.
func (c *Capacity) waitSize(n int) float64 {
	return measurement.Bytes(func() any { return c.newQueue(n) })
}

func (c *Capacity) waitTime(n int) float64 {
	q := c.newQueue(n)
	return measurement.Time(c.Clock, func() {
		_, l := q.Enqueue(context.Background(), accountName(0), time.Hour)
		l()
	})
}

func (c *Capacity) pickTime(n int) float64 {
	l := make([]backend.Backend, n)
	for i := range l {
		l[i] = backend.Backend{Name: fmt.Sprint("backend-", i), Slots: slotsPerBackend, Connections: 100 * slotsPerBackend}
	}
	b := &balancer.Balancer{
		Clock: c.Clock, Backends: func() []backend.Backend { return l },
		Slots: func(v backend.Backend) int { return v.Slots }, OnReleased: func() {},
		Random: func(k int) int { return k / 2 },
	}
	return measurement.Time(c.Clock, func() {
		if s, ok := b.Acquire(); ok {
			s.Release(result.Succeeded)
		}
	})
}
