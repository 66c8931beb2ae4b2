// Package quota admits requests against this host's part of the rate and burst
// of client accounts.
package quota

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/grant"
)

// driftDivisor gives the tolerated drift: the clock of a host may run too fast
// by 1/driftDivisor. Refills are slowed down by the same fraction, so that
// hosts with fast clocks do not exceed the rate together. Time services adjust
// clocks by 0.05% at most.
const driftDivisor = 1000

// syncBatchSize is how many buckets are refilled to the current time before the
// lock is released for waiting requests.
const syncBatchSize = 256

// maxRetryAfter bounds the retry delay that a refused caller receives. A host
// whose part has lapsed may hold the part again within seconds.
const maxRetryAfter = 2 * time.Second

// Quota holds this host's part of the limits of every account. It decides alone
// and in memory, and the parts of all hosts together never exceed the limit.
type Quota struct {
	// Clock is the monotonic clock of the host.
	Clock clockwork.Clock
	// Account returns the limits in force.
	Account func(name string) (account.Account, bool)
	// Grant returns the part of the limit of an account that this host may use.
	Grant func(name string) grant.Grant
	// Hold is the age of a token at which ConfirmToken must take a new one.
	Hold time.Duration
	// Borrow requests tokens from other hosts and later calls Receive once, with
	// or without tokens; nil means that no host lends. It must not block.
	Borrow func(name string, units uint64)

	mu        sync.Mutex
	entries   map[string]*entry
	entryList []*entry
}

// Take admits one request of an account without waiting and reports whether it
// was admitted.
func (q *Quota) Take(name string) bool {
	_, ok := q.TryTake(name, false)
	return ok
}

// Admit admits one request, waiting up to wait for a token. Waiting helps
// because one host's part of a small burst is soon used up, although the
// account in total is within its limits. Admit returns the time of admission
// for ConfirmToken or, if the request is refused, the time after which another
// attempt can succeed.
func (q *Quota) Admit(ctx context.Context, name string, wait time.Duration) (at time.Time, retry time.Duration, ok bool) {
	d, ok := q.TryTake(name, false)
	if ok {
		return q.Clock.Now(), 0, true
	}
	t := q.Clock.Now().Add(wait)
	if !q.StartWaiting(name, wait) {
		return time.Time{}, min(d, maxRetryAfter), false
	}
	defer q.StopWaiting(name)
	for {
		d, ok = q.TryTake(name, true)
		n := q.Clock.Now()
		if ok {
			return n, 0, true
		}
		if !n.Add(d).Before(t) {
			return time.Time{}, min(d, maxRetryAfter), false
		}
		select {
		case <-ctx.Done():
			return time.Time{}, min(d, maxRetryAfter), false
		case <-q.Clock.After(d):
		}
	}
}

// TryTake takes a token if one is available. Otherwise it returns the time after which
// a token may be available. Turn is true for a request that has waited since
// StartWaiting; other requests are not admitted before those that wait.
func (q *Quota) TryTake(name string, turn bool) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := q.Clock.Now()
	e, ok := q.refreshedEntry(name, n)
	if !ok {
		return time.Second, false
	}
	if !turn {
		e.offered++
		if e.waiting > 0 {
			return e.timeUntilTokens(float64(e.waiting) + 1), false
		}
	}
	if e.take(n) {
		return 0, true
	}
	d := e.timeUntilTokens(1)
	if turn {
		q.requestLoan(name, e, e.waiting, n)
		d = min(d, e.pollDelay(n))
	}
	return d, false
}

// StartWaiting lets a request wait for its turn, if the tokens expected within wait
// suffice for all waiting requests. Each StartWaiting that returned true needs one
// StopWaiting.
func (q *Quota) StartWaiting(name string, wait time.Duration) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := q.Clock.Now()
	e, ok := q.refreshedEntry(name, n)
	if !ok {
		return false
	}
	q.requestLoan(name, e, e.waiting+1, n)
	if e.timeUntilTokens(float64(e.waiting+1-e.expectedTokens(n))) > wait && (!e.grantUnknown || e.waiting >= maxUnknownGrantWaiters) {
		return false
	}
	e.waiting++
	return true
}

// StopWaiting ends a wait.
func (q *Quota) StopWaiting(name string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if e := q.entries[name]; e != nil {
		e.waiting--
	}
}

// ConfirmToken is called right before a request is forwarded. If the process was
// paused for longer than Hold since the token was taken, other hosts may
// already use the part that the token came from, so another token is taken.
func (q *Quota) ConfirmToken(name string, at time.Time) bool {
	if q.Clock.Since(at) < q.Hold {
		return true
	}
	return q.Take(name)
}

// Refund gives back the token of a request that ended with the outcome "not
// run".
func (q *Quota) Refund(name string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if e, ok := q.refreshedEntry(name, q.Clock.Now()); ok {
		e.bucket.Refund()
	}
}

// RefillAll refills every bucket to the current time under the grants in force. It is
// called right before the grants change, so that no bucket is refilled for a time in
// which its grant was not valid. Requests that are admitted between two batches also
// use the grants that are still in force.
func (q *Quota) RefillAll() {
	for i := 0; q.syncFrom(i); i += syncBatchSize {
	}
}

// syncFrom refills one batch of buckets and reports whether further buckets may
// remain.
func (q *Quota) syncFrom(i int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := q.Clock.Now()
	l := q.entryList[min(i, len(q.entryList)):min(i+syncBatchSize, len(q.entryList))]
	for _, e := range l {
		q.refreshedEntry(e.name, n)
	}
	return len(l) == syncBatchSize
}

// refreshedEntry returns the entry of an account after refilling its bucket.
func (q *Quota) refreshedEntry(name string, now time.Time) (*entry, bool) {
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
		e = &entry{name: name, lastRefill: now, rate: a.Rate}
		q.entries[name] = e
		q.entryList = append(q.entryList, e)
		e.bucket.SetBurst(a.Burst * g.Fraction(now))
		if g.FirstUse {
			e.bucket.Fill()
		}
	}
	e.refill(now, a, g)
	return e, true
}
