// Package configcommit commits new versions of the configuration.
package configcommit

import (
	"context"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/acceptedversion"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/conflict"
	"celeryreach.example/celeryreach/difference"
	"celeryreach.example/celeryreach/publish"
	"celeryreach.example/celeryreach/store"
)

// Configcommit commits configurations to the platform.
type Configcommit struct {
	// Store holds the accepted configuration.
	Store store.Store
	// Clock paces the retries after a lost answer; nil means the real clock.
	Clock clockwork.Clock
	// OnAccepted is called with a version that was just accepted, so that it is
	// put in force and relayed at once; nil means no call.
	OnAccepted func(a acceptedversion.Acceptedversion, content []byte)
}

// Commit accepts n as the successor of version from. If another version was
// accepted in between, it returns false and changes nothing. After an error the
// change may still take effect.
func (c *Configcommit) Commit(ctx context.Context, from uint64, n config.Config) (acceptedversion.Acceptedversion, bool, error) {
	n.Version = from + 1
	b, err := codec.Marshal(n)
	if err != nil {
		return acceptedversion.Acceptedversion{}, false, errors.Wrap(err, "configuration")
	}
	a, ok, err := c.newPublish().Commit(ctx, from, b)
	if err == nil && ok && c.OnAccepted != nil {
		c.OnAccepted(a, b)
	}
	return a, ok, err
}

// Explain lists both changes after a conflict: the differences that were
// accepted since version from, and those that n would have made. A list is empty
// if the platform no longer returns the versions that it compares.
func (c *Configcommit) Explain(ctx context.Context, from uint64, n config.Config, a acceptedversion.Acceptedversion) conflict.Conflict {
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

func (c *Configcommit) load(ctx context.Context, version uint64, a acceptedversion.Acceptedversion) (*config.Config, error) {
	if version == 0 {
		return new(config.Config), nil
	}
	h, ok := a.HashOf(version)
	if !ok {
		return nil, errors.Errorf("hash of configuration version %d is no longer stored", version)
	}
	b, err := c.Store.GetObject(ctx, acceptedversion.ObjectName(acceptedversion.ConfigKey, h))
	if err != nil {
		return nil, err
	}
	r := new(config.Config)
	return r, errors.Wrapf(codec.Unmarshal(b, r), "configuration %d", version)
}

func (c *Configcommit) newPublish() *publish.Publish {
	k := c.Clock
	if k == nil {
		k = clockwork.NewRealClock()
	}
	return &publish.Publish{Clock: k, Store: c.Store, Key: acceptedversion.ConfigKey}
}
