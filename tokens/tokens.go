// Package tokens divides the rate limits of client accounts between hosts, which lend
// each other tokens.
package tokens

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/account"
)

// refillInterval is how often idle buckets are refilled and spare tokens are lent. A
// host's bucket is full after half a second to a few seconds; tokens made after that
// are lost.
const refillInterval = 100 * time.Millisecond

// Tokens holds this host's token bucket of each client account. The hosts that hold an
// account's limits (all hosts of a small deployment) have equal shares of rate and
// burst. A host that receives many of the account's requests borrows tokens from
// others. A token is taken out of one bucket before it is added to another, so no token
// is used twice, even if a message is lost. This needs no synchronized clocks, leases
// or store: the total stays below the limit even with partitioned, paused and restarted
// hosts.
type Tokens struct {
	// Clock is the time source of the buckets.
	Clock clockwork.Clock
	// Self is the name of this host.
	Self string
	// Hosts returns the names of the hosts between which the limits are divided,
	// including this one. It returns none while the hosts are unknown; no request
	// may be admitted then.
	Hosts func() []string
	// OnHosts is called with the hosts when they have changed; nil disables the call.
	OnHosts func(hosts []string)
	// StartBorrowing starts to borrow n tokens from hosts among holders. Requests
	// already wait for the number urgent of these tokens. StartBorrowing passes
	// borrowed tokens to Receive and calls BorrowingDone at the end. It must not
	// block, and returns false if it starts nothing.
	StartBorrowing func(account string, n, urgent int64, holders []string) bool
	// SendLoan sends tokens to another host. It must not block.
	SendLoan func(host, account string, n int64)

	mu       sync.Mutex
	hosts    []string
	accounts map[string]*entry
}

// Run refills all buckets until ctx ends, so that the first requests of an account find
// the tokens made since the host started.
func (t *Tokens) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-t.Clock.After(refillInterval):
			t.Refill()
		}
	}
	return nil
}

// Refill updates all buckets and lends spare tokens to hosts that requested more
// tokens than they received.
func (t *Tokens) Refill() {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.Clock.Now()
	c := t.updateHosts()
	for _, e := range t.accounts {
		if c {
			e.resize(t.Self, t.hosts, n)
		}
		e.refill(n)
		t.lendSpare(e, n)
	}
}

// Set applies the client accounts of a configuration. Lower limits take effect
// immediately.
func (t *Tokens) Set(l []account.Account) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateHosts()
	m := make(map[string]*entry, len(l))
	for _, a := range l {
		e := t.accounts[a.Name]
		if e == nil {
			e = new(entry)
		}
		delete(t.accounts, a.Name)
		e.account = a
		e.resize(t.Self, t.hosts, t.Clock.Now())
		m[a.Name] = e
	}
	for _, e := range t.accounts {
		e.refuseWaiting()
	}
	t.accounts = m
}

// updateHosts reads the hosts and reports whether they have changed.
func (t *Tokens) updateHosts() bool {
	h := t.Hosts()
	if slices.Equal(h, t.hosts) {
		return false
	}
	t.hosts = h
	if t.OnHosts != nil {
		t.OnHosts(h)
	}
	return true
}

// Take admits one request of an account, or returns the time after which to retry. If
// the bucket is empty and an attempt to borrow is in progress, the request waits for
// its result, at most for maxWait. left is the number of tokens in the bucket
// afterwards.
func (t *Tokens) Take(ctx context.Context, name string, maxWait time.Duration) (left float64, retryAfter time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.accounts[name]
	if e == nil {
		return 0, defaultRetryAfter, false
	}
	if e.account.Rate == 0 {
		return 0, 0, true
	}
	n := t.Clock.Now()
	ok = e.take(n)
	if ok {
		t.borrowIfLow(e, n)
	} else {
		ok = t.waitForToken(ctx, e, maxWait)
	}
	if !ok {
		return e.bucket.Tokens(), e.promiseToken(t.Clock.Now()), false
	}
	return e.bucket.Tokens(), 0, true
}

// waitForToken waits for a token borrowed from other hosts. It releases the lock while
// it waits.
func (t *Tokens) waitForToken(ctx context.Context, e *entry, maxWait time.Duration) bool {
	w := e.startWaiting()
	if !t.borrowIfLow(e, t.Clock.Now()) || maxWait <= 0 {
		return e.stopWaiting(w)
	}
	t.mu.Unlock()
	select {
	case ok := <-w:
		t.mu.Lock()
		return ok
	case <-ctx.Done():
	case <-t.Clock.After(maxWait):
	}
	t.mu.Lock()
	return e.stopWaiting(w)
}

// Refund gives back the token of a request that was not executed.
func (t *Tokens) Refund(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.accounts[name]; e != nil {
		e.bucket.Refund()
		e.serveWaiting()
	}
}

// LendTo takes up to n tokens out of the bucket for another host. Requests at that
// host already wait for the number urgent of these tokens. The host may receive the
// remainder later.
func (t *Tokens) LendTo(host, name string, n, urgent int64) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.accounts[name]
	if e == nil {
		return 0
	}
	c := t.Clock.Now()
	e.refill(c)
	g := e.lend(n, urgent)
	if g < n {
		e.addShortfall(host, n-g, c)
	}
	return g
}

// Receive adds tokens lent by another host. Waiting requests are served first.
func (t *Tokens) Receive(name string, n int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.accounts[name]; e != nil {
		e.receive(n)
	}
}

// BorrowingDone ends an attempt to borrow, after all hosts that received a request have
// responded. If they lent tokens but requests still wait, another attempt starts; if they
// lent none, the waiting requests are refused.
func (t *Tokens) BorrowingDone(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.accounts[name]
	if e == nil {
		return
	}
	e.borrowing = false
	if e.received && len(e.waiting) > 0 && t.borrow(e, t.Clock.Now()) {
		return
	}
	e.refuseWaiting()
}

// lendSpare lends spare tokens to hosts that requested more tokens than they
// received.
func (t *Tokens) lendSpare(e *entry, now time.Time) {
	for _, w := range e.openShortfalls(now) {
		if n := e.lend(w.units, 0); n > 0 && t.SendLoan != nil {
			t.SendLoan(w.host, e.account.Name, n)
			e.removeShortfall(w.host)
		}
	}
}

// borrowIfLow starts to borrow tokens if the bucket runs low. It reports whether an
// attempt is in progress.
func (t *Tokens) borrowIfLow(e *entry, now time.Time) bool {
	if e.borrowing || now.Sub(e.lastBorrow) < minBorrowInterval {
		return e.borrowing
	}
	return t.borrow(e, now)
}

// borrow starts to borrow tokens if the host needs any, and reports whether it did.
func (t *Tokens) borrow(e *entry, now time.Time) bool {
	n, u := e.deficit()
	if n <= 0 || t.StartBorrowing == nil {
		return false
	}
	e.lastBorrow = now
	e.received = false
	e.borrowing = t.StartBorrowing(e.account.Name, n, u, e.holders)
	return e.borrowing
}
