// Package publish stores a content and makes it the accepted version of a row.
package publish

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/acceptedversion"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/commit"
	"celeryreach.example/celeryreach/row"
	"celeryreach.example/celeryreach/store"
)

const (
	commitAttempts   = 5
	commitRetryDelay = 200 * time.Millisecond
)

// Publish writes the versions of one row.
type Publish struct {
	// Clock paces the retries after a lost answer.
	Clock clockwork.Clock
	// Store holds the row and the objects.
	Store store.Store
	// Key is the key of the row.
	Key string
	// Fence adds conditions to a commit, such as a lease that must still be
	// held; nil adds none.
	Fence func(c commit.Commit) commit.Commit
}

// Current returns the accepted version and the version of its row.
func (p *Publish) Current(ctx context.Context) (acceptedversion.Acceptedversion, uint64, error) {
	var a acceptedversion.Acceptedversion
	r, err := p.Store.Read(ctx, p.Key)
	if err != nil {
		return a, 0, errors.Wrap(err, "read the accepted version")
	}
	if r.Version == 0 {
		return a, 0, nil
	}
	return a, r.Version, errors.Wrap(codec.Unmarshal(r.Value, &a), "accepted version")
}

// Commit accepts content as the successor of version from. If another version
// was accepted in between, it returns false and that version. After an error
// the content may still become the accepted version.
func (p *Publish) Commit(ctx context.Context, from uint64, content []byte) (acceptedversion.Acceptedversion, bool, error) {
	o, v, err := p.Current(ctx)
	if err != nil || o.Version != from {
		return o, false, err
	}
	a := o.Next(acceptedversion.Hash(content))
	// The content is stored first, because a row must never name an absent object.
	if err := p.Store.PutObject(ctx, acceptedversion.ObjectName(p.Key, a.Hash), content); err != nil {
		return o, false, errors.Wrap(err, "store content")
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
	return p.commitUntilKnown(ctx, a, c)
}

// commitUntilKnown sends the commit until its outcome is known. After a lost
// answer, commitUntilKnown reads the row. If the row has the hash of a under the
// version of a, the commit took effect, even if other versions have followed. If
// the row has another hash under this version, the commit can never take effect.
// An unchanged row proves nothing, because the commit may still be in flight.
// The same commit is then sent again: its condition lets at most one of the
// copies take effect, and each copy would leave the same row.
func (p *Publish) commitUntilKnown(ctx context.Context, a acceptedversion.Acceptedversion, c commit.Commit) (acceptedversion.Acceptedversion, bool, error) {
	var cause error
	for i := range commitAttempts {
		if i > 0 {
			select {
			case <-ctx.Done():
				return a, false, errors.Wrap(cause, "the outcome of the change is unknown")
			case <-p.Clock.After(commitRetryDelay):
			}
		}
		k, err := p.Store.Commit(ctx, c)
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
			// The row is unchanged, so another condition failed.
			return n, false, nil
		}
		cause = err
	}
	return a, false, errors.Wrap(cause, "the outcome of the change is unknown")
}
