// Package lease implements a lease that at most one host holds at a time, such
// as the one for planning, by a row of the platform's table.
package lease

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/commit"
	"celeryreach.example/celeryreach/row"
	"celeryreach.example/celeryreach/store"
)

// driftDivisor bounds how far the clocks of two hosts may differ in speed, as a
// divisor: two clocks that are each off by 1% differ by about 2%.
const driftDivisor = 50

// renewalsPerTerm is how often a holder renews within one term, so that a few
// lost responses do not cost the lease.
const renewalsPerTerm = 4

// Lease is the lease named by one row. Held is only a hint for whether this
// host should work. Writes are safe only with Fence, since a holder can be
// paused between Held and the write.
type Lease struct {
	// Clock is the monotonic clock of the host.
	Clock clockwork.Clock
	// Store holds the lease row.
	Store store.Store
	// Name is the key of the row.
	Name string
	// Holder names this process; it must differ between incarnations.
	Holder string
	// Term is how long the lease lasts without renewal.
	Term time.Duration

	mu         sync.Mutex
	ownClaim   claim
	ownVersion uint64
	heldUntil  time.Time
	observed   row.Row
	observedAt time.Time
}

// claim is the content of the row.
type claim struct {
	Holder string
	Epoch  uint64
	Term   time.Duration
	// Renewal increases with each renewal, so that other hosts read a changed
	// row.
	Renewal uint64
}

// Run acquires and renews the lease until ctx ends.
func (l *Lease) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		l.Step(ctx)
		select {
		case <-ctx.Done():
		case <-l.Clock.After(l.Term / renewalsPerTerm):
		}
	}
	return nil
}

// Held returns the epoch of the lease and whether this host holds it at the
// moment, by its own monotonic clock with a margin.
func (l *Lease) Held() (epoch uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ownClaim.Epoch, l.ownVersion != 0 && l.Clock.Now().Before(l.heldUntil)
}

// Fence makes c depend on the lease. The commit is refused if another host has
// acquired the lease since, no matter how long this one was paused.
//
// The row also changes with each renewal, so a commit that races a renewal by
// this host is refused and must be retried.
func (l *Lease) Fence(c commit.Commit) commit.Commit {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.ownVersion
	if v == 0 {
		// Version zero would expect an absent row and let the commit pass.
		v = ^uint64(0)
	}
	c.Expect = append(c.Expect[:len(c.Expect):len(c.Expect)], row.Row{Key: l.Name, Version: v})
	return c
}

// Step reads the row and renews or acquires the lease if this host may do so. A
// failed call changes nothing; without a later renewal, the lease expires.
func (l *Lease) Step(ctx context.Context) {
	x, f := clockwork.WithTimeout(ctx, l.Clock, l.Term/renewalsPerTerm)
	defer f()
	r, err := l.Store.Read(x, l.Name)
	if err != nil {
		return
	}
	c, ok, err := l.nextClaim(r)
	if err != nil || !ok {
		return
	}
	b, err := codec.Marshal(c)
	if err != nil {
		return
	}
	t := l.Clock.Now()
	ok, err = l.Store.Commit(x, commit.Commit{
		Expect: []row.Row{{Key: l.Name, Version: r.Version}},
		Put:    []row.Row{{Key: l.Name, Value: b}},
	})
	if err != nil || !ok {
		// If only the response was lost, the next read finds this host's own
		// claim in the row.
		return
	}
	l.recordAcquired(c, r.Version+1, t)
}

// nextClaim returns the claim to write after r, if this host may write one.
func (l *Lease) nextClaim(r row.Row) (claim, bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.Clock.Now()
	if r.Version != l.observed.Version {
		l.observed = r
		l.observedAt = n
	}
	if r.Version == 0 {
		return claim{Holder: l.Holder, Epoch: 1, Term: l.Term}, true, nil
	}
	var o claim
	if err := codec.Unmarshal(r.Value, &o); err != nil {
		return o, false, errors.Wrap(err, "decode lease row")
	}
	if o.Holder == l.Holder {
		// This host may renew its own claim at any time: the row shows that no
		// other host has written since, and the commit fails if another host
		// has written in the meantime.
		return claim{Holder: l.Holder, Epoch: o.Epoch, Term: l.Term, Renewal: o.Renewal + 1}, true, nil
	}
	// The holder counts the term from before its commit, and this host counts
	// the term from when it first read this version of the row. The margin
	// covers clocks of different speed.
	if n.Sub(l.observedAt) < o.Term+o.Term/driftDivisor {
		return o, false, nil
	}
	return claim{Holder: l.Holder, Epoch: o.Epoch + 1, Term: l.Term}, true, nil
}

// recordAcquired records a claim that was committed. Sent is the time just
// before the commit.
func (l *Lease) recordAcquired(c claim, version uint64, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ownClaim = c
	l.ownVersion = version
	l.heldUntil = sent.Add(l.Term - l.Term/driftDivisor)
	l.observed = row.Row{Key: l.Name, Version: version}
	l.observedAt = sent
}
