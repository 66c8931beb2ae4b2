// Package tokens divides the rates of client accounts between hosts by tokens
// that hosts hand to each other.
package tokens

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/bucket"
)

const (
	// low is the part of the burst below which a host asks others for tokens.
	low = 0.4
	// spare is the part of the burst above which a host gives to others.
	spare = 0.5
	// askPause spaces the requests for tokens of one account.
	askPause = 60 * time.Millisecond
	// refillEvery is how often buckets are refilled that nobody uses.
	refillEvery = 500 * time.Millisecond
	// retry is when a refused caller may come back: a host's part of a usual
	// rate makes some tokens in that time, or others have sent some.
	retry = 250 * time.Millisecond
)

// Tokens holds this host's bucket of each client account. Each host's bucket
// has an equal part of rate and burst. A host with many of an account's callers
// gets tokens from others; a token leaves the one bucket before it enters the
// other, so that none is ever used twice, and one that is lost on the way is
// only lost. This needs no clock that agrees, no lease and no store: hosts that
// are cut off, frozen or started anew keep the sum below the limit.
type Tokens struct {
	// Clock refills the buckets.
	Clock clockwork.Clock
	// Hosts returns between how many hosts the limits are divided, zero while
	// that is not known and nothing may be admitted.
	Hosts func() int
	// Ask gets tokens from other hosts and hands them to Receive. It must not
	// block.
	Ask func(account string, n int64)

	mu       sync.Mutex
	accounts map[string]*entry
}

type entry struct {
	account account.Account
	bucket  bucket.Bucket
	hosts   int
	asked   time.Time
}

// Run refills all buckets until ctx ends, so that an account's first requests
// find what its rate has made since the host started.
func (t *Tokens) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-t.Clock.After(refillEvery):
			t.refill()
		}
	}
	return nil
}

func (t *Tokens) refill() {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.Clock.Now()
	for _, e := range t.accounts {
		t.fit(e, n)
	}
}

// Set takes the client accounts of a configuration. Lower limits hold at once.
func (t *Tokens) Set(l []account.Account) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := make(map[string]*entry, len(l))
	for _, a := range l {
		e := t.accounts[a.Name]
		if e == nil {
			e = new(entry)
		}
		e.account = a
		e.hosts = -1
		t.fit(e, t.Clock.Now())
		m[a.Name] = e
	}
	t.accounts = m
}

// Take admits one request of an account, or tells when to come back. Left is
// what the bucket holds then.
func (t *Tokens) Take(name string) (left float64, retryAfter time.Duration, ok bool) {
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
	t.fit(e, n)
	ok = e.bucket.Take(n)
	t.ask(e, n)
	return e.bucket.Tokens(), retry, ok
}

// Return gives back the token of a request that did not run.
func (t *Tokens) Return(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.accounts[name]; e != nil {
		e.bucket.Return()
	}
}

// Give takes up to n tokens out of the bucket for another host.
func (t *Tokens) Give(name string, n int64) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.accounts[name]
	if e == nil {
		return 0
	}
	t.fit(e, t.Clock.Now())
	n = min(n, int64(e.bucket.Tokens()-keeps(e.bucket.Capacity())))
	if n <= 0 || !e.bucket.TakeMany(n) {
		return 0
	}
	return n
}

// keeps is what a bucket keeps from others. With many hosts a bucket holds one
// token, and half of it could not be given: the host gives its one, and asks for
// another when it needs it.
func keeps(capacity float64) float64 {
	return min(spare*capacity, max(capacity-1, 0))
}

// Receive puts tokens that another host gave into the bucket.
func (t *Tokens) Receive(name string, n int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.accounts[name]; e != nil {
		e.bucket.Add(n)
	}
}

// fit refills the bucket and fits it to the number of hosts.
func (t *Tokens) fit(e *entry, now time.Time) {
	h := t.Hosts()
	if h == e.hosts {
		e.bucket.Refill(now)
		return
	}
	e.hosts = h
	if h == 0 {
		e.bucket.Set(now, 0, 0)
		return
	}
	e.bucket.Set(now, e.account.Rate/float64(h), max(e.account.Burst/float64(h), 1))
}

func (t *Tokens) ask(e *entry, now time.Time) {
	c := e.bucket.Capacity()
	if e.bucket.Tokens() > low*c || now.Sub(e.asked) < askPause || t.Ask == nil {
		return
	}
	e.asked = now
	t.Ask(e.account.Name, int64(c-e.bucket.Tokens()))
}
