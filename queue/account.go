package queue

import (
	"context"
	"time"

	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/slot"
)

// account is the line of one client account, a list that gives up a request at
// any place in constant time.
type account struct {
	weight  float64
	virtual float64
	hold    float64
	flow    flow
	// overloaded accounts are served newest first.
	overloaded bool
	waiting    int
	oldest     *waiter
	latest     *waiter
	// index is the place in the heap, -1 when nothing waits.
	index int
}

// waiter is one waiting request. It is in line as long as line is set; the
// decision is made by taking it out, under the queue's lock, so that no request
// is both granted and refused.
type waiter struct {
	ctx      context.Context //nolint:containedctx // asked when its turn comes
	entered  time.Time
	deadline time.Time
	decision chan decision
	class    *class
	line     *account
	older    *waiter
	newer    *waiter
}

type decision struct {
	slot    slot.Slot
	outcome outcome.Outcome
}

// first returns the request to serve next.
func (a *account) first(newest bool) *waiter {
	if newest {
		return a.latest
	}
	return a.oldest
}

// last returns the request that would be served last.
func (a *account) last(newest bool) *waiter {
	return a.first(!newest)
}

// behind returns the request to serve after w.
func (w *waiter) behind(newest bool) *waiter {
	if newest {
		return w.older
	}
	return w.newer
}

func (a *account) push(w *waiter) {
	w.line = a
	w.older = a.latest
	if a.latest != nil {
		a.latest.newer = w
	} else {
		a.oldest = w
	}
	a.latest = w
	a.waiting++
}

func (a *account) remove(w *waiter) {
	if w.older != nil {
		w.older.newer = w.newer
	} else {
		a.oldest = w.newer
	}
	if w.newer != nil {
		w.newer.older = w.older
	} else {
		a.latest = w.older
	}
	w.line = nil
	w.older = nil
	w.newer = nil
	a.waiting--
}

func (a *account) learn(t float64) {
	if a.hold == 0 {
		a.hold = t
		return
	}
	a.hold += smoothing * (t - a.hold)
}
