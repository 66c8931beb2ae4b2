// Package change makes a new version of the configuration the accepted one.
package change

import (
	"context"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/accepted"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/conflict"
	"celeryreach.example/celeryreach/difference"
	"celeryreach.example/celeryreach/publish"
	"celeryreach.example/celeryreach/store"
)

// Change writes configurations to the platform.
type Change struct {
	// Platform holds the accepted configuration.
	Platform store.Store
	// Clock paces the reading back after a lost answer; nil means the real one.
	Clock clockwork.Clock
	// Accepted is told of a version that was just accepted, so that it is put
	// in force and relayed at once; nil tells nobody.
	Accepted func(a accepted.Accepted, content []byte)
}

// Commit accepts n as the successor of version from. It reports false, and
// changes nothing, when another version was accepted in between. After an
// error the outcome is not known to have failed.
func (c *Change) Commit(ctx context.Context, from uint64, n config.Config) (accepted.Accepted, bool, error) {
	n.Version = from + 1
	b, err := codec.Marshal(n)
	if err != nil {
		return accepted.Accepted{}, false, errors.Wrap(err, "configuration")
	}
	a, ok, err := c.publish().Commit(ctx, from, b)
	if err == nil && ok && c.Accepted != nil {
		c.Accepted(a, b)
	}
	return a, ok, err
}

// Explain names both changes after a conflict: what was accepted since version
// from, and what n would have changed. The lists stay empty when the platform
// no longer gives the versions.
func (c *Change) Explain(ctx context.Context, from uint64, n config.Config, a accepted.Accepted) conflict.Conflict {
	r := conflict.Conflict{From: from, Accepted: a.Version}
	o, err := c.load(ctx, from, a)
	if err != nil {
		return r
	}
	n.Version = from
	r.Yours = difference.Between(o, &n)
	t, err := c.load(ctx, a.Version, a)
	if err != nil {
		return r
	}
	t.Version = from
	r.Theirs = difference.Between(o, t)
	return r
}

func (c *Change) load(ctx context.Context, version uint64, a accepted.Accepted) (*config.Config, error) {
	if version == 0 {
		return new(config.Config), nil
	}
	h, ok := a.HashOf(version)
	if !ok {
		return nil, errors.Errorf("version %d is too old", version)
	}
	b, err := c.Platform.GetObject(ctx, accepted.ObjectName(accepted.RowKey, h))
	if err != nil {
		return nil, err
	}
	r := new(config.Config)
	return r, errors.Wrapf(codec.Unmarshal(b, r), "configuration %d", version)
}

func (c *Change) publish() *publish.Publish {
	k := c.Clock
	if k == nil {
		k = clockwork.NewRealClock()
	}
	return &publish.Publish{Clock: k, Platform: c.Platform, Key: accepted.RowKey}
}
