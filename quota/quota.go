// Package quota admits requests against the rate and burst of client accounts,
// of which this host holds a part.
package quota

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/grant"
)

// drift is how fast a host's clock may run, as a divisor: refills are made
// slower by it, so that hosts with fast clocks do not exceed the rate
// together. Time services steer clocks by 0.05% at most.
const drift = 1000

// syncBatch is how many buckets are brought up to now while requests wait.
const syncBatch = 256

// retryMost is the longest time that a refused caller is told to wait: a host
// whose part lapsed may have it back any second.
const retryMost = 2 * time.Second

// Quota holds this host's part of every account's limit. It decides alone and
// in memory; the parts of all hosts together never exceed the limit.
type Quota struct {
	// Clock is the host's monotonic clock.
	Clock clockwork.Clock
	// Account returns the limits in force.
	Account func(name string) (account.Account, bool)
	// Grant returns the part of an account's limit that this host may use.
	Grant func(name string) grant.Grant
	// Hold is the age beyond which Confirm takes a token anew.
	Hold time.Duration
	// Borrow asks other hosts for tokens and later calls Receive once, with or
	// without tokens; nil means that nobody lends. It must not block.
	Borrow func(name string, units uint64)

	mu      sync.Mutex
	entries map[string]*entry
	order   []*entry
}

// Take admits one request of an account at once and reports whether it may go
// on.
func (q *Quota) Take(name string) bool {
	_, ok := q.Try(name, false)
	return ok
}

// Admit admits one request, waiting up to wait for a token: a part of a small
// burst is soon empty at one host, while the account as a whole is inside its
// limits. It returns the moment of admission for Confirm, or else the time
// after which an attempt has a chance.
func (q *Quota) Admit(ctx context.Context, name string, wait time.Duration) (at time.Time, retry time.Duration, ok bool) {
	d, ok := q.Try(name, false)
	if ok {
		return q.Clock.Now(), 0, true
	}
	t := q.Clock.Now().Add(wait)
	if !q.Join(name, wait) {
		return time.Time{}, min(d, retryMost), false
	}
	defer q.Leave(name)
	for {
		d, ok = q.Try(name, true)
		n := q.Clock.Now()
		if ok {
			return n, 0, true
		}
		if !n.Add(d).Before(t) {
			return time.Time{}, min(d, retryMost), false
		}
		select {
		case <-ctx.Done():
			return time.Time{}, min(d, retryMost), false
		case <-q.Clock.After(d):
		}
	}
}

// Try takes a token if there is one, and else returns after which time there
// may be. Turn tells that the request waits since Join; others let those that
// wait go first.
func (q *Quota) Try(name string, turn bool) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := q.Clock.Now()
	e, ok := q.touch(name, n)
	if !ok {
		return time.Second, false
	}
	if !turn {
		e.offered++
		if e.waiting > 0 {
			return e.ready(float64(e.waiting) + 1), false
		}
	}
	if e.take(n) {
		return 0, true
	}
	d := e.ready(1)
	if turn {
		q.borrow(name, e, e.waiting, n)
		d = min(d, e.answer(n))
	}
	return d, false
}

// Join lets a request wait for its turn, if the tokens of that time suffice
// for all that wait. Each Join that returned true needs one Leave.
func (q *Quota) Join(name string, wait time.Duration) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := q.Clock.Now()
	e, ok := q.touch(name, n)
	if !ok {
		return false
	}
	q.borrow(name, e, e.waiting+1, n)
	if e.ready(float64(e.waiting+1-e.coming(n))) > wait && (!e.unknown || e.waiting >= unknownMost) {
		return false
	}
	e.waiting++
	return true
}

// Leave ends a wait.
func (q *Quota) Leave(name string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if e := q.entries[name]; e != nil {
		e.waiting--
	}
}

// Confirm is asked right before a request leaves. A token of a process that
// was paused for longer than Hold belongs to a part that others may use by
// now, so it is taken anew.
func (q *Quota) Confirm(name string, at time.Time) bool {
	if q.Clock.Since(at) < q.Hold {
		return true
	}
	return q.Take(name)
}

// Return gives back the token of a request that ended "not run".
func (q *Quota) Return(name string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if e, ok := q.touch(name, q.Clock.Now()); ok {
		e.bucket.Return()
	}
}

// Sync brings every bucket up to now under the grants in force. It is called
// right before they change, so that no bucket refills by a grant for a time in
// which it did not hold. Requests go on between two batches; they too use the
// grants that are still in force.
func (q *Quota) Sync() {
	for i := 0; q.syncFrom(i); i += syncBatch {
	}
}

// syncFrom syncs one batch and reports whether there may be another.
func (q *Quota) syncFrom(i int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := q.Clock.Now()
	l := q.order[min(i, len(q.order)):min(i+syncBatch, len(q.order))]
	for _, e := range l {
		q.touch(e.name, n)
	}
	return len(l) == syncBatch
}

// touch returns an account's entry with its bucket refilled.
func (q *Quota) touch(name string, now time.Time) (*entry, bool) {
	a, ok := q.Account(name)
	if !ok {
		return nil, false
	}
	g := q.Grant(name)
	e := q.entries[name]
	if e == nil {
		if q.entries == nil {
			q.entries = make(map[string]*entry)
		}
		e = &entry{name: name, last: now, rate: a.Rate}
		q.entries[name] = e
		q.order = append(q.order, e)
		e.bucket.Limit(a.Burst * g.Part(now))
		if g.Unused {
			e.bucket.Fill()
		}
	}
	e.refill(now, a, g)
	return e, true
}
