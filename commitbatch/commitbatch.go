// Package commitbatch batches conditional row writes into one commit.
package commitbatch

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/commit"
	"celeryreach.example/celeryreach/deadline"
	"celeryreach.example/celeryreach/row"
)

// Commitbatch batches the writes of a host that arrive close together. The platform
// accepts a few hundred commits per second from all hosts in total, regardless of the
// number of rows in each. One commit per request would exceed that rate.
type Commitbatch struct {
	// Clock paces the commits.
	Clock clockwork.Clock
	// Commit applies one transaction.
	Commit func(ctx context.Context, c commit.Commit) (bool, error)
	// MinInterval is the minimum time between the starts of two commits. A write after
	// an idle period is committed at once, and a host never makes more than
	// 1/MinInterval commits per second.
	MinInterval time.Duration
	// MaxRows is the maximum number of rows in a commit.
	MaxRows int
	// Timeout bounds each commit.
	Timeout time.Duration

	mu        sync.Mutex
	openBatch *batch
	lastStart time.Time
}

// batch is a commit that collects writes. Its result is valid once done is
// closed.
type batch struct {
	commit commit.Commit
	done   chan struct{}
	ok     bool
	err    error
}

// Write puts r if the row's version is still r.Version, together with index
// rows that have no other writer. It returns false if a row of the commit, not
// necessarily r, had another version. After an error the outcome is unknown.
// The end of ctx does not cancel the write.
func (g *Commitbatch) Write(ctx context.Context, r row.Row, index ...row.Row) (bool, error) {
	b := g.join(ctx, r, index)
	select {
	case <-b.done:
		return b.ok, b.err
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

// join adds a write to the open batch, and starts a new batch if none is open.
func (g *Commitbatch) join(ctx context.Context, r row.Row, index []row.Row) *batch {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.openBatch
	if b == nil {
		b = &batch{done: make(chan struct{})}
		g.openBatch = b
		n := g.Clock.Now()
		t := g.lastStart.Add(g.MinInterval)
		if t.Before(n) {
			t = n
		}
		g.lastStart = t
		// The context of the first writer may end while the other writers still need
		// the commit.
		go g.run(context.WithoutCancel(ctx), b, t.Sub(n))
	}
	b.commit.Expect = append(b.commit.Expect, row.Row{Key: r.Key, Version: r.Version})
	b.commit.Put = append(b.commit.Put, row.Row{Key: r.Key, Value: r.Value})
	b.commit.Put = append(b.commit.Put, index...)
	if len(b.commit.Put) >= g.MaxRows {
		g.openBatch = nil
	}
	return b
}

// run closes the batch to further writes after wait, and commits it.
func (g *Commitbatch) run(ctx context.Context, b *batch, wait time.Duration) {
	defer close(b.done)
	if wait > 0 {
		<-g.Clock.After(wait)
	}
	g.mu.Lock()
	if g.openBatch == b {
		g.openBatch = nil
	}
	g.mu.Unlock()
	x, f := deadline.With(ctx, g.Clock, g.Timeout)
	defer f()
	b.ok, b.err = g.Commit(x, b.commit)
}
