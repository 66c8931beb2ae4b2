// Package queue implements the queue of requests that wait for a slot of a
// service. It shares slots fairly between client accounts, observes deadlines,
// and makes one decision for every request: granted, or refused before it ran.
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

// Queue grants the slots of one service to waiting requests. All fields are set
// before first use; only Clock, Acquire and Limit are required.
type Queue struct {
	// Clock is the time source.
	Clock clockwork.Clock
	// Acquire takes a free slot, if there is one.
	Acquire func() (slot.Slot, bool)
	// AcquireBorrowed takes a slot that another host of the failure domain lent until
	// at least the given time; nil disables borrowing.
	AcquireBorrowed func(until time.Time) (slot.Slot, bool)
	// Limit is the number of waiting requests above which an account may only
	// keep its fair share of the queue. There are never more than 2*Limit.
	Limit int
	// Weight returns an account's weight in the sharing of slots; nil means one
	// for every account.
	Weight func(account string) float64
	// Precedes is the queue of another service that uses the same backend servers
	// and takes precedence; nil means that this queue has backend servers of its
	// own.
	Precedes *Queue
	// Slots returns the number of slots that this host may use now; nil means
	// unknown.
	Slots func() int
	// NewestFirstAfter is the waiting time of an account's oldest request above which
	// its newest request is served first; zero means never.
	NewestFirstAfter time.Duration

	mu       sync.Mutex
	urgent   class
	deferred class
}

// Wait waits up to d for a slot. It returns a slot if the outcome's text is
// empty, otherwise the reason for the refusal. With Precedes set, a request is
// served only when no request waits in the queue Precedes, and on no more than
// half of the slots.
func (q *Queue) Wait(ctx context.Context, account string, d time.Duration) (slot.Slot, outcome.Outcome) {
	if q.Precedes != nil {
		return q.Precedes.wait(ctx, &q.Precedes.deferred, account, d)
	}
	return q.wait(ctx, &q.urgent, account, d)
}

// Enqueue is a non-blocking Wait for simulations: decided returns the decision
// once it has been made, and leave removes the request from the queue.
func (q *Queue) Enqueue(ctx context.Context, account string, d time.Duration) (decided func() (slot.Slot, outcome.Outcome, bool), leave func()) {
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
		if w.account != nil {
			w.account.netArrivals.add(-1, q.Clock.Now())
			w.class.remove(w)
		}
	}
	return decided, leave
}

// GrantFree grants free slots to waiting requests. It must be called whenever a slot
// is freed.
func (q *Queue) GrantFree() {
	if q.Precedes != nil {
		q.Precedes.GrantFree()
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.grantFree()
}

// Sweep grants free slots and refuses requests that can no longer be served in
// time. It must be called at regular intervals: when backend servers stop
// responding, no other event occurs, and the requests would be refused only at
// their own deadlines.
func (q *Queue) Sweep() {
	if q.Precedes != nil {
		return // the Sweep of q.Precedes handles both queues
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.grantFree()
	n := q.Clock.Now()
	for _, c := range []*class{&q.urgent, &q.deferred} {
		// A copy, because accounts without requests are removed from the heap.
		for _, a := range slices.Clone(c.waitingAccounts) {
			q.refuseLate(c, a, n)
		}
	}
}

// Waiting returns the number of waiting requests. With Precedes set, it includes
// the requests of both queues.
func (q *Queue) Waiting() int {
	if q.Precedes != nil {
		return q.Precedes.Waiting()
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

// enter adds a request to the queue. The decision may have been made on return.
func (q *Queue) enter(ctx context.Context, c *class, name string, d time.Duration) *waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := q.Clock.Now()
	a := c.account(name, q.weight(name))
	if t, ok := ctx.Deadline(); ok {
		// A slot that is granted later leaves too little time for an answer. At
		// least half of the time is available for waiting: if the learned hold
		// time is outdated, only requests that run can correct it.
		l := t.Sub(n)
		d = min(d, l-min(seconds(a.meanHold/2), l/2))
	}
	w := &waiter{ctx: ctx, entered: n, deadline: n.Add(d), decision: make(chan decision, 1)}
	if d <= 0 {
		w.decision <- decision{outcome: outcome.Outcome{Outcome: outcome.DeadlineExceeded, Ran: outcome.RanNo, Message: "too little time is left"}}
		return w
	}
	if c.waiting == 0 {
		c.estimate.nonEmptySince = n
	}
	c.push(a, w)
	a.netArrivals.add(1, n)
	q.grantFree()
	if w.account != nil && q.full(c, a) {
		q.refuse(c, a.last(q.newestFirst(a, n)), n, "the queue is full")
	}
	q.refuseLateTail(c, a, n)
	return w
}

// full reports whether an account has too many requests in the queue. Urgent
// and deferred requests have a limit of Limit each, and there are never more
// than 2*Limit in total.
func (q *Queue) full(c *class, a *accountQueue) bool {
	if q.urgent.waiting+q.deferred.waiting > 2*q.Limit {
		return true
	}
	return c.waiting > q.Limit && float64(a.waiting) > float64(q.Limit)*a.weight/c.totalWeight
}

// leave removes w from the queue. If w was decided concurrently, that decision
// holds, so that no request is both granted and refused.
func (q *Queue) leave(w *waiter, o outcome.Outcome) (slot.Slot, outcome.Outcome) {
	q.mu.Lock()
	if w.account != nil {
		o.Ran = outcome.RanNo
		if o.Outcome != outcome.Left {
			o.RetryAfter = q.retryAfter(w.class, w.account)
		}
		w.account.netArrivals.add(-1, q.Clock.Now())
		w.class.remove(w)
		q.mu.Unlock()
		return slot.Slot{}, o
	}
	q.mu.Unlock()
	v := <-w.decision
	if v.outcome.Outcome == "" && w.ctx.Err() != nil {
		// Nothing was sent yet, so the slot is free for another waiting request.
		v.slot.Release(result.Unused)
		return slot.Slot{}, outcome.Outcome{Outcome: outcome.Left, Ran: outcome.RanNo, Message: "the caller left"}
	}
	return v.slot, v.outcome
}

func (q *Queue) grantFree() {
	for {
		c := q.nextClass()
		if c == nil {
			return
		}
		n := q.Clock.Now()
		a := c.first()
		w := a.first(q.newestFirst(a, n))
		if w.ctx.Err() != nil {
			// The caller has disconnected, but the goroutine of its request has
			// not run yet. A slot granted to the request would be wasted.
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

// acquire takes a slot for w. Only a request with a deadline may run on a
// borrowed slot, because the lender uses the slot again when the loan ends.
func (q *Queue) acquire(w *waiter) (slot.Slot, bool) {
	s, ok := q.Acquire()
	if ok || q.AcquireBorrowed == nil {
		return s, ok
	}
	t, ok := w.ctx.Deadline()
	if !ok {
		return slot.Slot{}, false
	}
	return q.AcquireBorrowed(t)
}

// nextClass returns the class to serve, nil if no request can be served.
func (q *Queue) nextClass() *class {
	switch {
	case q.urgent.waiting > 0:
		return &q.urgent
	case q.deferred.waiting > 0 && !q.deferredFull():
		return &q.deferred
	default:
		return nil
	}
}

// deferredFull reports whether deferred requests hold their half of the slots.
// Without this limit, exports could hold all slots when the next urgent request
// arrives, which would then wait as long as an export takes.
func (q *Queue) deferredFull() bool {
	if q.Slots == nil {
		return false
	}
	return q.deferred.estimate.busy >= max(1, q.Slots()/2)
}

// grant gives the slot to w and charges the account for the expected slot time.
// The release corrects the charge to the actual time.
func (q *Queue) grant(c *class, a *accountQueue, w *waiter, s slot.Slot, now time.Time) {
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
			c.estimate.addSample(t, n)
			a.addHold(t)
		}
		c.addVirtualTime(a, t-p)
		q.mu.Unlock()
		f(r)
	}
	w.decision <- decision{slot: s}
}

// refuseLateTail refuses requests at the end of an account's queue that cannot
// be served before their deadlines at the present rate. After an early refusal,
// their callers have time to try another entry host.
func (q *Queue) refuseLateTail(c *class, a *accountQueue, now time.Time) {
	for a.waiting > 0 {
		w := a.last(q.newestFirst(a, now))
		if !q.missesDeadline(c, a, w, a.waiting, now) {
			return
		}
		q.refuse(c, w, now, "no slot will come free in time")
	}
}

// refuseLate refuses requests that cannot be served before their deadlines, at any
// position of an account's queue.
func (q *Queue) refuseLate(c *class, a *accountQueue, now time.Time) {
	v := q.newestFirst(a, now)
	p := 1
	for w := a.first(v); w != nil; {
		x := w.next(v)
		if q.missesDeadline(c, a, w, p, now) {
			q.refuse(c, w, now, "no slot will come free in time")
		} else {
			p++
		}
		w = x
	}
}

func (q *Queue) refuse(c *class, w *waiter, now time.Time, m string) {
	o := outcome.Outcome{Outcome: outcome.NoCapacity, Ran: outcome.RanNo, Message: m, RetryAfter: q.retryAfterAt(c, w.account, now)}
	c.remove(w)
	w.decision <- decision{outcome: o}
}

// newestFirst reports whether the account's newest request is served first. This
// lasts until its oldest request has waited less than half of NewestFirstAfter:
// older requests are refused, so with a single threshold the order would switch back
// at once, and every request would wait as long as NewestFirstAfter.
func (q *Queue) newestFirst(a *accountQueue, now time.Time) bool {
	if q.NewestFirstAfter == 0 || a.waiting == 0 {
		return false
	}
	t := now.Sub(a.oldest.entered)
	a.overloaded = t > q.NewestFirstAfter || a.overloaded && t > q.NewestFirstAfter/2
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
