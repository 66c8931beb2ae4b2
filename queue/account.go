package queue

import (
	"context"
	"time"

	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/slot"
)

// accountQueue is the queue of one client account: a doubly linked list from
// which any request is removed in constant time.
type accountQueue struct {
	weight      float64
	virtualTime float64
	meanHold    float64
	netArrivals netArrivals
	// overloaded is true while the newest request is served first.
	overloaded bool
	waiting    int
	oldest     *waiter
	latest     *waiter
	// index is the position in the class's heap, -1 if no request waits.
	index int
}

// waiter is one queued request. It is in the queue while account is set. A
// decision is made by removing it under the queue's lock, so that no request is
// both granted and refused.
type waiter struct {
	ctx      context.Context //nolint:containedctx // checked before a slot is granted
	entered  time.Time
	deadline time.Time
	decision chan decision
	class    *class
	account  *accountQueue
	older    *waiter
	newer    *waiter
}

type decision struct {
	slot    slot.Slot
	outcome outcome.Outcome
}

// first returns the request to serve next.
func (a *accountQueue) first(newest bool) *waiter {
	if newest {
		return a.latest
	}
	return a.oldest
}

// last returns the request that would be served last.
func (a *accountQueue) last(newest bool) *waiter {
	return a.first(!newest)
}

// next returns the request to serve after w.
func (w *waiter) next(newest bool) *waiter {
	if newest {
		return w.older
	}
	return w.newer
}

func (a *accountQueue) push(w *waiter) {
	w.account = a
	w.older = a.latest
	if a.latest != nil {
		a.latest.newer = w
	} else {
		a.oldest = w
	}
	a.latest = w
	a.waiting++
}

func (a *accountQueue) remove(w *waiter) {
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
	w.account = nil
	w.older = nil
	w.newer = nil
	a.waiting--
}

func (a *accountQueue) addHold(t float64) {
	if a.meanHold == 0 {
		a.meanHold = t
		return
	}
	a.meanHold += smoothing * (t - a.meanHold)
}
