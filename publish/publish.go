// Package publish makes a content the accepted one of its row.
package publish

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/accepted"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/commit"
	"celeryreach.example/celeryreach/row"
	"celeryreach.example/celeryreach/store"
)

const (
	settleTries = 5
	settlePause = 200 * time.Millisecond
)

// Publish writes the versions of one row.
type Publish struct {
	// Clock paces the reading back after a lost answer.
	Clock clockwork.Clock
	// Platform holds the row and the objects.
	Platform store.Store
	// Key is the key of the row.
	Key string
	// Fence adds conditions to a commit, such as a lease that must still be
	// held; nil adds none.
	Fence func(c commit.Commit) commit.Commit
}

// Current returns the accepted version and the version of its row.
func (p *Publish) Current(ctx context.Context) (accepted.Accepted, uint64, error) {
	var a accepted.Accepted
	r, err := p.Platform.Read(ctx, p.Key)
	if err != nil {
		return a, 0, errors.Wrap(err, "read the accepted version")
	}
	if r.Version == 0 {
		return a, 0, nil
	}
	return a, r.Version, errors.Wrap(codec.Unmarshal(r.Value, &a), "accepted version")
}

// Commit accepts content as the successor of version from. It reports false,
// with what is accepted instead, when another version came in between. After
// an error the content may still become the accepted one.
func (p *Publish) Commit(ctx context.Context, from uint64, content []byte) (accepted.Accepted, bool, error) {
	o, v, err := p.Current(ctx)
	if err != nil || o.Version != from {
		return o, false, err
	}
	a := o.Next(accepted.Hash(content))
	// The content goes first: a row must never name an object that is absent.
	if err := p.Platform.PutObject(ctx, accepted.ObjectName(p.Key, a.Hash), content); err != nil {
		return o, false, errors.Wrap(err, "store the content")
	}
	b, err := codec.Marshal(a)
	if err != nil {
		return o, false, errors.Wrap(err, "accepted version")
	}
	c := commit.Commit{
		Expect: []row.Row{{Key: p.Key, Version: v}},
		Put:    []row.Row{{Key: p.Key, Value: b}},
	}
	if p.Fence != nil {
		c = p.Fence(c)
	}
	return p.settle(ctx, a, c)
}

// settle sends the commit until its outcome is known. After a lost answer the
// row tells: our hash under our version means that the commit took effect, also
// when others have already followed; another hash means that it never will.
// A row that has not moved proves nothing, since the commit may still be on its
// way, so the same commit is sent again: its condition lets at most one of the
// copies take effect, and whichever does leaves the same row.
func (p *Publish) settle(ctx context.Context, a accepted.Accepted, c commit.Commit) (accepted.Accepted, bool, error) {
	var cause error
	for i := range settleTries {
		if i > 0 {
			select {
			case <-ctx.Done():
				return a, false, errors.Wrap(cause, "the outcome of the change is unknown")
			case <-p.Clock.After(settlePause):
			}
		}
		k, err := p.Platform.Commit(ctx, c)
		if err == nil && k {
			return a, true, nil
		}
		n, _, e := p.Current(ctx)
		if e != nil {
			cause = e
			continue
		}
		h, ok := n.HashOf(a.Version)
		switch {
		case ok && h == a.Hash:
			return a, true, nil
		case ok:
			return n, false, nil
		case n.Version > a.Version:
			return n, false, errors.New("the outcome of the change is unknown: too many others followed")
		case err == nil:
			// The row stands where we left it, so another condition failed.
			return n, false, nil
		}
		cause = err
	}
	return a, false, errors.Wrap(cause, "the outcome of the change is unknown")
}
