// Package queue is the line of requests that wait for a slot of a service.
package queue

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/slot"
)

// Queue hands the slots of one service to waiting requests.
type Queue struct {
	// Clock measures the waiting.
	Clock clockwork.Clock
	// Acquire takes a free slot, if there is one.
	Acquire func() (slot.Slot, bool)
	// Limit is the greatest number of waiting requests.
	Limit int

	mu      sync.Mutex
	waiting []*waiter
}

type waiter struct {
	account string
	slot    chan slot.Slot
}

// Wait returns a slot, or the outcome that says why there is none. It holds a
// slot only if the outcome's text is empty.
func (q *Queue) Wait(ctx context.Context, account string, d time.Duration) (slot.Slot, outcome.Outcome) {
	w := &waiter{account: account, slot: make(chan slot.Slot, 1)}
	if !q.enter(w) {
		return slot.Slot{}, refusal(outcome.NoCapacity, "the queue is full")
	}
	q.Kick()
	t := q.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case s := <-w.slot:
		return s, outcome.Outcome{}
	case <-ctx.Done():
		return q.leave(w, refusal(outcome.Left, "the caller left"))
	case <-t.Chan():
		return q.leave(w, refusal(outcome.NoCapacity, "no slot came free in time"))
	}
}

// Kick hands out free slots. Whoever frees a slot calls it.
func (q *Queue) Kick() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.waiting) > 0 {
		s, ok := q.Acquire()
		if !ok {
			return
		}
		q.waiting[0].slot <- s
		q.waiting = q.waiting[1:]
	}
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

func (q *Queue) enter(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) >= q.Limit {
		return false
	}
	q.waiting = append(q.waiting, w)
	return true
}

// leave takes w out of the line. A slot that was handed out in the same moment
// is used: a request is either granted or refused, never both.
func (q *Queue) leave(w *waiter, o outcome.Outcome) (slot.Slot, outcome.Outcome) {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case s := <-w.slot:
		return s, outcome.Outcome{}
	default:
	}
	for i, v := range q.waiting {
		if v == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			break
		}
	}
	return slot.Slot{}, o
}

func refusal(o, m string) outcome.Outcome {
	return outcome.Outcome{Outcome: o, Ran: outcome.RanNo, Message: m, RetryAfter: time.Second}
}
