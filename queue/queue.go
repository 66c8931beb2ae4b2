// Package queue is the line of requests that wait for a slot of a service. It
// is fair between client accounts, keeps deadlines, and gives every request one
// decision: granted, or refused before it ran.
package queue

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/result"
	"celeryreach.example/celeryreach/slot"
)

// Queue hands the slots of one service to waiting requests. All fields are set
// before first use; only Clock, Acquire and Limit are required.
type Queue struct {
	// Clock measures the waiting.
	Clock clockwork.Clock
	// Acquire takes a free slot, if there is one.
	Acquire func() (slot.Slot, bool)
	// Borrowed takes a slot that a sibling lent for at least until a time; nil
	// means that nobody lends.
	Borrowed func(until time.Time) (slot.Slot, bool)
	// Limit is the number of waiting requests from which on an account may
	// only keep its fair part of the line. There are never more than 2*Limit.
	Limit int
	// Weight returns an account's part of a contended queue; nil means one.
	Weight func(account string) float64
	// Ahead is the queue of another service that uses the same backend
	// servers and goes first; nil means that this queue has its own.
	Ahead *Queue
	// Slots returns how many slots this host may use now; nil means unknown.
	Slots func() int
	// Patience is the waiting time of an account's oldest request from which
	// on its newest is served first; zero means never.
	Patience time.Duration

	mu       sync.Mutex
	urgent   class
	deferred class
}

// Wait returns a slot, or the outcome that says why there is none. It holds a
// slot only if the outcome's text is empty. Behind another queue a request is
// served only when none waits there, and on no more than half of the slots.
func (q *Queue) Wait(ctx context.Context, account string, d time.Duration) (slot.Slot, outcome.Outcome) {
	if q.Ahead != nil {
		return q.Ahead.wait(ctx, &q.Ahead.deferred, account, d)
	}
	return q.wait(ctx, &q.urgent, account, d)
}

// Enter is Wait for simulations, which cannot block: decided returns the
// decision once there is one, and leave takes the request out of the line.
func (q *Queue) Enter(ctx context.Context, account string, d time.Duration) (decided func() (slot.Slot, outcome.Outcome, bool), leave func()) {
	w := q.enter(ctx, &q.urgent, account, d)
	decided = func() (slot.Slot, outcome.Outcome, bool) {
		select {
		case v := <-w.decision:
			return v.slot, v.outcome, true
		default:
			return slot.Slot{}, outcome.Outcome{}, false
		}
	}
	leave = func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		if w.line != nil {
			w.line.flow.add(-1, q.Clock.Now())
			w.class.remove(w)
		}
	}
	return decided, leave
}

// Kick hands out free slots. Whoever frees a slot calls it.
func (q *Queue) Kick() {
	if q.Ahead != nil {
		q.Ahead.Kick()
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.kick()
}

// Sweep hands out free slots and refuses what can no longer be served in time.
// It is called at regular intervals, for the times when nothing else happens:
// without it, requests behind backend servers that went silent would be
// refused only at their own deadlines.
func (q *Queue) Sweep() {
	if q.Ahead != nil {
		return // the queue ahead does it
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.kick()
	n := q.Clock.Now()
	for _, c := range []*class{&q.urgent, &q.deferred} {
		// A copy, since an account without requests leaves the heap.
		for _, a := range slices.Clone(c.accounts) {
			q.sweep(c, a, n)
		}
	}
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	if q.Ahead != nil {
		return q.Ahead.Waiting()
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.urgent.waiting + q.deferred.waiting
}

func (q *Queue) wait(ctx context.Context, c *class, account string, d time.Duration) (slot.Slot, outcome.Outcome) {
	w := q.enter(ctx, c, account, d)
	t := q.Clock.NewTimer(w.deadline.Sub(w.entered))
	defer t.Stop()
	select {
	case v := <-w.decision:
		return v.slot, v.outcome
	case <-ctx.Done():
		return q.leave(w, outcome.Outcome{Outcome: outcome.Left, Ran: outcome.RanNo, Message: "the caller left"})
	case <-t.Chan():
		return q.leave(w, outcome.Outcome{Outcome: outcome.NoCapacity, Message: "no slot came free in time"})
	}
}

// enter puts a request into the line. The decision may be there on return.
func (q *Queue) enter(ctx context.Context, c *class, name string, d time.Duration) *waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := q.Clock.Now()
	a := c.account(name, q.weight(name))
	if t, ok := ctx.Deadline(); ok {
		// A slot that comes later than this comes too late for an answer. At
		// least half of the time is for waiting: if what was learned is wrong
		// by now, only requests that run can correct it.
		l := t.Sub(n)
		d = min(d, l-min(seconds(a.hold/2), l/2))
	}
	w := &waiter{ctx: ctx, entered: n, deadline: n.Add(d), decision: make(chan decision, 1)}
	if d <= 0 {
		w.decision <- decision{outcome: outcome.Outcome{Outcome: outcome.DeadlineExceeded, Ran: outcome.RanNo, Message: "too little time is left"}}
		return w
	}
	if c.waiting == 0 {
		c.estimate.began = n
	}
	c.push(a, w)
	a.flow.add(1, n)
	q.kick()
	if w.line != nil && q.full(c, a) {
		q.refuse(c, a.last(q.newest(a, n)), n, "the queue is full")
	}
	q.giveUp(c, a, n)
	return w
}

// full reports whether an account may have no more requests in the line. Urgent
// and deferred requests have a limit each, and together never more than two.
func (q *Queue) full(c *class, a *account) bool {
	if q.urgent.waiting+q.deferred.waiting > 2*q.Limit {
		return true
	}
	return c.waiting > q.Limit && float64(a.waiting) > float64(q.Limit)*a.weight/c.weights
}

// leave takes w out of the line. If w was decided in the same moment, that
// decision holds: a request is either granted or refused, never both.
func (q *Queue) leave(w *waiter, o outcome.Outcome) (slot.Slot, outcome.Outcome) {
	q.mu.Lock()
	if w.line != nil {
		o.Ran = outcome.RanNo
		if o.Outcome != outcome.Left {
			o.RetryAfter = q.retryAfter(w.class, w.line)
		}
		w.line.flow.add(-1, q.Clock.Now())
		w.class.remove(w)
		q.mu.Unlock()
		return slot.Slot{}, o
	}
	q.mu.Unlock()
	v := <-w.decision
	if v.outcome.Outcome == "" && w.ctx.Err() != nil {
		// Nothing was sent yet, so the slot goes to somebody who still waits.
		v.slot.Release(result.Unused)
		return slot.Slot{}, outcome.Outcome{Outcome: outcome.Left, Ran: outcome.RanNo, Message: "the caller left"}
	}
	return v.slot, v.outcome
}

func (q *Queue) kick() {
	for {
		c := q.next()
		if c == nil {
			return
		}
		n := q.Clock.Now()
		a := c.first()
		w := a.first(q.newest(a, n))
		if w.ctx.Err() != nil {
			// Its goroutine has not woken yet. A slot would be wasted on it.
			c.remove(w)
			w.decision <- decision{outcome: outcome.Outcome{Outcome: outcome.Left, Ran: outcome.RanNo, Message: "the caller left"}}
			continue
		}
		s, ok := q.acquire(w)
		if !ok {
			return
		}
		c.remove(w)
		q.grant(c, a, w, s, n)
	}
}

// acquire takes a slot for w. Only a request that ends by itself may run on a
// borrowed one, since the lender uses it again when the loan ends.
func (q *Queue) acquire(w *waiter) (slot.Slot, bool) {
	s, ok := q.Acquire()
	if ok || q.Borrowed == nil {
		return s, ok
	}
	t, ok := w.ctx.Deadline()
	if !ok {
		return slot.Slot{}, false
	}
	return q.Borrowed(t)
}

// next returns the class to serve, nil when none has a request to serve.
func (q *Queue) next() *class {
	switch {
	case q.urgent.waiting > 0:
		return &q.urgent
	case q.deferred.waiting > 0 && !q.deferredFull():
		return &q.deferred
	default:
		return nil
	}
}

// deferredFull keeps exports from holding all slots when the next urgent
// request comes, which would wait as long as an export takes.
func (q *Queue) deferredFull() bool {
	if q.Slots == nil {
		return false
	}
	return q.deferred.estimate.busy >= max(1, q.Slots()/2)
}

func (q *Queue) grant(c *class, a *account, w *waiter, s slot.Slot, now time.Time) {
	f := s.Release
	p := c.charge(a)
	c.estimate.busy++
	s.Release = func(r result.Result) {
		q.mu.Lock()
		n := q.Clock.Now()
		t := n.Sub(now).Seconds()
		c.estimate.busy--
		if r == result.Unused {
			t = 0
		} else {
			c.estimate.add(t, n)
			a.learn(t)
		}
		c.correct(a, t-p)
		q.mu.Unlock()
		f(r)
	}
	w.decision <- decision{slot: s}
}

// giveUp refuses the requests of an account that would be served last and
// cannot be served before their deadlines at the present rate. They get their
// answers now, while their callers can still go elsewhere.
func (q *Queue) giveUp(c *class, a *account, now time.Time) {
	for a.waiting > 0 {
		w := a.last(q.newest(a, now))
		if !q.late(c, a, w, a.waiting, now) {
			return
		}
		q.refuse(c, w, now, "no slot will come free in time")
	}
}

// sweep does the same for requests at any place in the line.
func (q *Queue) sweep(c *class, a *account, now time.Time) {
	v := q.newest(a, now)
	p := 1
	for w := a.first(v); w != nil; {
		x := w.behind(v)
		if q.late(c, a, w, p, now) {
			q.refuse(c, w, now, "no slot will come free in time")
		} else {
			p++
		}
		w = x
	}
}

func (q *Queue) refuse(c *class, w *waiter, now time.Time, m string) {
	o := outcome.Outcome{Outcome: outcome.NoCapacity, Ran: outcome.RanNo, Message: m, RetryAfter: q.retryAfterAt(c, w.line, now)}
	c.remove(w)
	w.decision <- decision{outcome: o}
}

// newest reports whether the account is served newest first. It stays so until
// its oldest request is well below the patience: what is older is refused, so
// a single threshold would switch back at once and keep everybody waiting as
// long as the patience.
func (q *Queue) newest(a *account, now time.Time) bool {
	if q.Patience == 0 || a.waiting == 0 {
		return false
	}
	t := now.Sub(a.oldest.entered)
	a.overloaded = t > q.Patience || a.overloaded && t > q.Patience/2
	return a.overloaded
}

func (q *Queue) weight(name string) float64 {
	if q.Weight == nil {
		return 1
	}
	if w := q.Weight(name); w > 0 {
		return w
	}
	return 1
}
