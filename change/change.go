// Package change makes a new version of the configuration the accepted one.
package change

import (
	"context"

	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/accepted"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/commit"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/platform"
	"celeryreach.example/celeryreach/row"
)

// Change writes configurations to the platform.
type Change struct {
	// Platform holds the accepted configuration.
	Platform platform.Platform
}

// Commit accepts c as the successor of version from. It reports false, and
// changes nothing, when another version was accepted in between. After an
// error the outcome is not known to have failed.
func (c *Change) Commit(ctx context.Context, from uint64, n config.Config) (accepted.Accepted, bool, error) {
	r, err := c.Platform.Read(ctx, accepted.RowKey)
	if err != nil {
		return accepted.Accepted{}, false, errors.Wrap(err, "read the accepted version")
	}
	var o accepted.Accepted
	if r.Version != 0 {
		if err := codec.Unmarshal(r.Value, &o); err != nil {
			return o, false, errors.Wrap(err, "accepted version")
		}
	}
	if o.Version != from {
		return o, false, nil
	}
	n.Version = from + 1
	b, err := codec.Marshal(n)
	if err != nil {
		return o, false, errors.Wrap(err, "configuration")
	}
	a := accepted.Accepted{Version: n.Version, Hash: accepted.Hash(b)}
	// The content goes first: a row must never name an object that is absent.
	if err := c.Platform.PutObject(ctx, accepted.ObjectName(a.Hash), b); err != nil {
		return o, false, errors.Wrap(err, "store the configuration")
	}
	v, err := codec.Marshal(a)
	if err != nil {
		return o, false, errors.Wrap(err, "accepted version")
	}
	ok, err := c.Platform.Commit(ctx, commit.Commit{
		Expect: []row.Row{{Key: accepted.RowKey, Version: r.Version}},
		Put:    []row.Row{{Key: accepted.RowKey, Value: v}},
	})
	if err == nil {
		return a, ok, nil
	}
	return c.settle(ctx, a, err)
}

// settle reads back the row after a commit whose answer was lost. Our hash
// under our version means that the commit took effect.
func (c *Change) settle(ctx context.Context, a accepted.Accepted, cause error) (accepted.Accepted, bool, error) {
	r, err := c.Platform.Read(ctx, accepted.RowKey)
	if err != nil || r.Version == 0 {
		return a, false, errors.Wrap(cause, "the outcome of the change is unknown")
	}
	var v accepted.Accepted
	if err := codec.Unmarshal(r.Value, &v); err != nil {
		return a, false, errors.Wrap(err, "accepted version")
	}
	if v == a {
		return a, true, nil
	}
	return v, false, errors.Wrap(cause, "the outcome of the change is unknown")
}
