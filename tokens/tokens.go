// Package tokens divides the rates of client accounts between hosts by tokens
// that hosts hand to each other.
package tokens

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/account"
)

// refillEvery is how often buckets are refilled that nobody uses, and how often
// what they have to spare is handed on. A host's bucket is full after half a
// second to a few seconds; what its rate makes after that is lost.
const refillEvery = 100 * time.Millisecond

// Tokens holds this host's bucket of each client account. The hosts that hold an
// account's limits, all of a small deployment, have equal parts of rate and burst.
// A host with many of its callers gets tokens from others; a token leaves the one
// bucket before it enters the other, so that none is ever used twice, and one that
// is lost on the way is only lost. This needs no clock that agrees, no lease and no
// store: hosts that are cut off, frozen or started anew keep the sum below the
// limit.
type Tokens struct {
	// Clock refills the buckets.
	Clock clockwork.Clock
	// Self is the name of this host.
	Self string
	// Hosts returns the names of the hosts between which the limits are divided,
	// this one included. It is empty while they are not known and nothing may be
	// admitted.
	Hosts func() []string
	// Ask begins to get n tokens from hosts among holders, of which requests wait
	// for urgent ones. It hands them to Receive, and calls Asked in the end. It must
	// not block, and reports false if it does nothing.
	Ask func(account string, n, urgent int64, holders []string) bool
	// Lend hands tokens to another host. It must not block.
	Lend func(host, account string, n int64)

	mu       sync.Mutex
	hosts    []string
	accounts map[string]*entry
}

// Run refills all buckets until ctx ends, so that an account's first requests
// find what its rate has made since the host started.
func (t *Tokens) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-t.Clock.After(refillEvery):
			t.Refill()
		}
	}
	return nil
}

// Refill brings all buckets up to date, and hands what they have to spare to the
// hosts that asked in vain.
func (t *Tokens) Refill() {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.Clock.Now()
	h := t.Hosts()
	c := !slices.Equal(h, t.hosts)
	t.hosts = h
	for _, e := range t.accounts {
		if c {
			e.fit(t.Self, h, n)
		}
		e.refill(n)
		t.handOn(e, n)
	}
}

// Set takes the client accounts of a configuration. Lower limits hold at once.
func (t *Tokens) Set(l []account.Account) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts = t.Hosts()
	m := make(map[string]*entry, len(l))
	for _, a := range l {
		e := t.accounts[a.Name]
		if e == nil {
			e = new(entry)
		}
		delete(t.accounts, a.Name)
		e.account = a
		e.fit(t.Self, t.hosts, t.Clock.Now())
		m[a.Name] = e
	}
	for _, e := range t.accounts {
		e.refuse()
	}
	t.accounts = m
}

// Take admits one request of an account, or tells when to come back. If the
// bucket is empty and other hosts are being asked, the request waits for their
// answers, no longer than patience. Left is what the bucket holds then.
func (t *Tokens) Take(ctx context.Context, name string, patience time.Duration) (left float64, retryAfter time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.accounts[name]
	if e == nil {
		return 0, retry, false
	}
	if e.account.Rate == 0 {
		return 0, 0, true
	}
	n := t.Clock.Now()
	ok = e.take(n)
	if ok {
		t.ask(e, n)
	} else {
		ok = t.wait(ctx, e, patience)
	}
	if !ok {
		return e.bucket.Tokens(), e.comeBack(t.Clock.Now()), false
	}
	return e.bucket.Tokens(), 0, true
}

// wait asks other hosts for the token of a request, and leaves the lock while it
// waits.
func (t *Tokens) wait(ctx context.Context, e *entry, patience time.Duration) bool {
	w := e.join()
	if !t.ask(e, t.Clock.Now()) || patience <= 0 {
		return e.leave(w)
	}
	t.mu.Unlock()
	select {
	case ok := <-w:
		t.mu.Lock()
		return ok
	case <-ctx.Done():
	case <-t.Clock.After(patience):
	}
	t.mu.Lock()
	return e.leave(w)
}

// Return gives back the token of a request that did not run.
func (t *Tokens) Return(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.accounts[name]; e != nil {
		e.bucket.Return()
		e.serve()
	}
}

// Give takes up to n tokens out of the bucket for another host, where requests
// wait for urgent ones. What it cannot give now, that host may get later.
func (t *Tokens) Give(host, name string, n, urgent int64) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.accounts[name]
	if e == nil {
		return 0
	}
	c := t.Clock.Now()
	e.refill(c)
	g := e.give(n, urgent)
	if g < n {
		e.note(host, n-g, c)
	}
	return g
}

// Receive puts tokens that another host gave into the bucket. Requests that wait
// get them first.
func (t *Tokens) Receive(name string, n int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.accounts[name]; e != nil {
		e.receive(n)
	}
}

// Asked tells that all hosts which were asked have answered. If they had tokens,
// but not for all who wait by now, they are asked once more; if they had none,
// who still waits is refused.
func (t *Tokens) Asked(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.accounts[name]
	if e == nil {
		return
	}
	e.asking = false
	if e.got && len(e.waiting) > 0 && t.begin(e, t.Clock.Now()) {
		return
	}
	e.refuse()
}

// handOn lends what a bucket has to spare.
func (t *Tokens) handOn(e *entry, now time.Time) {
	for _, w := range e.wanted(now) {
		if n := e.give(w.units, 0); n > 0 && t.Lend != nil {
			t.Lend(w.host, e.account.Name, n)
			e.forget(w.host)
		}
	}
}

// ask asks other hosts if the bucket runs low. It reports whether an answer is
// awaited.
func (t *Tokens) ask(e *entry, now time.Time) bool {
	if e.asking || now.Sub(e.asked) < askPause {
		return e.asking
	}
	return t.begin(e, now)
}

func (t *Tokens) begin(e *entry, now time.Time) bool {
	n, u := e.needs()
	if n <= 0 || t.Ask == nil {
		return false
	}
	e.asked = now
	e.got = false
	e.asking = t.Ask(e.account.Name, n, u, e.holders)
	return e.asking
}
