// Package group writes many conditional rows with one commit.
package group

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/commit"
	"celeryreach.example/celeryreach/deadline"
	"celeryreach.example/celeryreach/row"
)

// Group joins the writes of a host that arrive close together. The platform
// takes several hundred commits a second from all hosts together, however many
// rows each has; a commit for each request would use that up at once.
type Group struct {
	// Clock paces the commits.
	Clock clockwork.Clock
	// Commit applies one transaction.
	Commit func(ctx context.Context, c commit.Commit) (bool, error)
	// Gap is the least time between the starts of two commits: a write after
	// a quiet time leaves at once, and a host never makes more than 1/Gap
	// commits a second.
	Gap time.Duration
	// Limit is the greatest number of rows in a commit.
	Limit int
	// Timeout bounds each commit.
	Timeout time.Duration

	mu   sync.Mutex
	next *batch
	last time.Time
}

type batch struct {
	commit commit.Commit
	done   chan struct{}
	ok     bool
	err    error
}

// Write puts r if the row's version is still r.Version, and index rows with it
// that nobody else writes. False says that some
// row of the commit was not as expected, not necessarily r; an error says that
// the outcome is not known. A context that ends does not take the write back.
func (g *Group) Write(ctx context.Context, r row.Row, index ...row.Row) (bool, error) {
	b := g.join(ctx, r, index)
	select {
	case <-b.done:
		return b.ok, b.err
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

func (g *Group) join(ctx context.Context, r row.Row, index []row.Row) *batch {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.next
	if b == nil {
		b = &batch{done: make(chan struct{})}
		g.next = b
		n := g.Clock.Now()
		t := g.last.Add(g.Gap)
		if t.Before(n) {
			t = n
		}
		g.last = t
		// The first member may leave; the others still need the commit.
		go g.run(context.WithoutCancel(ctx), b, t.Sub(n))
	}
	b.commit.Expect = append(b.commit.Expect, row.Row{Key: r.Key, Version: r.Version})
	b.commit.Put = append(b.commit.Put, row.Row{Key: r.Key, Value: r.Value})
	b.commit.Put = append(b.commit.Put, index...)
	if len(b.commit.Put) >= g.Limit {
		g.next = nil
	}
	return b
}

func (g *Group) run(ctx context.Context, b *batch, wait time.Duration) {
	defer close(b.done)
	if wait > 0 {
		<-g.Clock.After(wait)
	}
	g.mu.Lock()
	if g.next == b {
		g.next = nil
	}
	g.mu.Unlock()
	x, f := deadline.With(ctx, g.Clock, g.Timeout)
	defer f()
	b.ok, b.err = g.Commit(x, b.commit)
}
