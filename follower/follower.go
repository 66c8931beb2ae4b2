// Package follower keeps a host on the newest accepted configuration.
package follower

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/accepted"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/platform"
	"celeryreach.example/celeryreach/snapshot"
)

// Follower applies only versions higher than the one it has, whether they come
// from the platform or from a peer.
type Follower struct {
	// Clock paces the polling.
	Clock clockwork.Clock
	// Log receives one line for each applied version.
	Log *log.Logger
	// Platform is polled.
	Platform platform.Platform
	// Poll is the time between two reads of the row.
	Poll time.Duration

	mu      sync.Mutex
	current atomic.Pointer[snapshot.Snapshot]
	content []byte
}

// Snapshot returns the configuration in force, nil before the first.
func (f *Follower) Snapshot() *snapshot.Snapshot {
	return f.current.Load()
}

// Content returns the configuration in force as it is stored.
func (f *Follower) Content() (version uint64, hash string, content []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.current.Load()
	if s == nil {
		return 0, "", nil
	}
	return s.Config.Version, s.Hash, f.content
}

// Run polls the platform until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for {
		if err := f.poll(ctx); err != nil && ctx.Err() == nil {
			f.Log.Warn("configuration not read", "Error", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-f.Clock.After(f.Poll):
		}
	}
}

// Offer applies content if its version is higher than the one in force. The
// content must have the hash that was accepted with the version.
func (f *Follower) Offer(version uint64, hash string, content []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.current.Load(); s != nil && version <= s.Config.Version {
		return nil
	}
	if accepted.Hash(content) != hash {
		return errors.Errorf("configuration %d: content does not have hash %s", version, hash)
	}
	c := new(config.Config)
	if err := codec.Unmarshal(content, c); err != nil {
		return errors.Wrapf(err, "configuration %d", version)
	}
	c.Version = version
	f.content = content
	f.current.Store(snapshot.New(c, hash))
	f.Log.Info("configuration applied", "Version", version, "Preset", c.Preset)
	return nil
}

func (f *Follower) poll(ctx context.Context) error {
	r, err := f.Platform.Read(ctx, accepted.RowKey)
	if err != nil || r.Version == 0 {
		return err
	}
	var a accepted.Accepted
	if err := codec.Unmarshal(r.Value, &a); err != nil {
		return err
	}
	if s := f.current.Load(); s != nil && a.Version <= s.Config.Version {
		return nil
	}
	b, err := f.Platform.GetObject(ctx, accepted.ObjectName(a.Hash))
	if err != nil {
		return err
	}
	return f.Offer(a.Version, a.Hash, b)
}
