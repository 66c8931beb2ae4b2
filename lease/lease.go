// Package lease holds a right that at most one host may have at a time, such
// as the right to plan, by a row of the platform's table.
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

// drift bounds how far the clocks of two hosts may differ in speed, as a
// divisor: two clocks that are each off by 1% differ by about 2%.
const drift = 50

// renewals is how often a holder renews within one term, so that a few lost
// answers do not cost the lease.
const renewals = 4

// Lease is the right named by one row. Holding is a hint for deciding whether
// to work; what makes a write safe is Fence, since a holder can be paused
// between Held and the write.
type Lease struct {
	// Clock is the host's monotonic clock.
	Clock clockwork.Clock
	// Platform holds the row.
	Platform store.Store
	// Name is the key of the row.
	Name string
	// Holder names this process; it must differ between incarnations.
	Holder string
	// Term is how long the lease lasts without renewal.
	Term time.Duration

	mu       sync.Mutex
	own      claim
	version  uint64
	until    time.Time
	observed row.Row
	since    time.Time
}

// claim is the content of the row.
type claim struct {
	Holder string
	Epoch  uint64
	Term   time.Duration
	// Renewal makes each renewal a change that others see.
	Renewal uint64
}

// Run takes and renews the lease until ctx ends.
func (l *Lease) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		l.Step(ctx)
		select {
		case <-ctx.Done():
		case <-l.Clock.After(l.Term / renewals):
		}
	}
	return nil
}

// Held returns the epoch of the lease and whether this host holds it now, by
// its own monotonic clock with a margin.
func (l *Lease) Held() (epoch uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.own.Epoch, l.version != 0 && l.Clock.Now().Before(l.until)
}

// Fence makes c depend on the lease: the commit is refused if another host has
// taken the lease since, however long this one was paused.
//
// The row changes with each renewal too, so a commit that races this host's
// own renewal is refused and must be tried again.
func (l *Lease) Fence(c commit.Commit) commit.Commit {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.version
	if v == 0 {
		// Version zero would expect an absent row and let the commit pass.
		v = ^uint64(0)
	}
	c.Expect = append(c.Expect[:len(c.Expect):len(c.Expect)], row.Row{Key: l.Name, Version: v})
	return c
}

// Step reads the row and renews or takes the lease when it may. A failed call
// changes nothing: the lease then lapses by itself.
func (l *Lease) Step(ctx context.Context) {
	x, f := clockwork.WithTimeout(ctx, l.Clock, l.Term/renewals)
	defer f()
	r, err := l.Platform.Read(x, l.Name)
	if err != nil {
		return
	}
	c, ok, err := l.next(r)
	if err != nil || !ok {
		return
	}
	b, err := codec.Marshal(c)
	if err != nil {
		return
	}
	t := l.Clock.Now()
	ok, err = l.Platform.Commit(x, commit.Commit{
		Expect: []row.Row{{Key: l.Name, Version: r.Version}},
		Put:    []row.Row{{Key: l.Name, Value: b}},
	})
	if err != nil || !ok {
		// A lost answer is settled by the next read, which finds the own
		// claim in the row.
		return
	}
	l.hold(c, r.Version+1, t)
}

// next returns the claim to write after r, if this host may write one.
func (l *Lease) next(r row.Row) (claim, bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.Clock.Now()
	if r.Version != l.observed.Version {
		l.observed = r
		l.since = n
	}
	if r.Version == 0 {
		return claim{Holder: l.Holder, Epoch: 1, Term: l.Term}, true, nil
	}
	var o claim
	if err := codec.Unmarshal(r.Value, &o); err != nil {
		return o, false, errors.Wrap(err, "lease")
	}
	if o.Holder == l.Holder {
		// Renewing our own claim is safe however late: nobody else has
		// written since, and the commit expects just that.
		return claim{Holder: l.Holder, Epoch: o.Epoch, Term: l.Term, Renewal: o.Renewal + 1}, true, nil
	}
	// The holder counts from before its commit, we from after we saw it; the
	// margin covers clocks of different speed.
	if n.Sub(l.since) < o.Term+o.Term/drift {
		return o, false, nil
	}
	return claim{Holder: l.Holder, Epoch: o.Epoch + 1, Term: l.Term}, true, nil
}

func (l *Lease) hold(c claim, version uint64, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.own = c
	l.version = version
	l.until = sent.Add(l.Term - l.Term/drift)
	l.observed = row.Row{Key: l.Name, Version: version}
	l.since = sent
}
