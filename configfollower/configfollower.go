// Package configfollower keeps a host on the latest accepted configuration.
package configfollower

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/acceptedversion"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/replica"
	"celeryreach.example/celeryreach/snapshot"
	"celeryreach.example/celeryreach/store"
)

// Kind identifies the configuration in messages between hosts.
const Kind = "Config"

// Configfollower receives configurations from the platform and from peers, and applies
// only versions higher than the current one.
type Configfollower struct {
	// Clock paces the polling.
	Clock clockwork.Clock
	// Log receives one line for each applied version.
	Log *log.Logger
	// Store is polled.
	Store store.Store
	// PollInterval returns the time until the next read of the row.
	PollInterval func() time.Duration
	// OnPoll is called after each read that the platform answered. It may be nil.
	OnPoll func()
	// OnChange is called after a version was applied. It may be nil.
	OnChange func()

	once    sync.Once
	replica *replica.Replica
	current atomic.Pointer[snapshot.Snapshot]
}

// Snapshot returns the configuration in force, nil before the first.
func (f *Configfollower) Snapshot() *snapshot.Snapshot {
	return f.current.Load()
}

// Content returns the configuration in force in its stored form.
func (f *Configfollower) Content() (version uint64, hash string, content []byte) {
	return f.Replica().Content()
}

// Replica returns the replica through which peers exchange the configuration.
func (f *Configfollower) Replica() *replica.Replica {
	f.once.Do(func() {
		f.replica = &replica.Replica{
			Kind: Kind, Key: acceptedversion.ConfigKey, Log: f.Log, Store: f.Store, Apply: f.apply, OnChange: f.OnChange,
			Clock: f.Clock, PollInterval: f.PollInterval, OnPoll: f.OnPoll,
		}
	})
	return f.replica
}

// Offer applies content if its version is higher than the one in force. The
// content must have the hash that was accepted with the version.
func (f *Configfollower) Offer(version uint64, hash string, content []byte) error {
	return f.Replica().Offer(version, hash, content)
}

// Run polls the platform until ctx ends.
func (f *Configfollower) Run(ctx context.Context) error {
	return f.Replica().Run(ctx)
}

func (f *Configfollower) apply(version uint64, hash string, content []byte) error {
	c := new(config.Config)
	if err := codec.Unmarshal(content, c); err != nil {
		return err
	}
	c.Version = version
	f.current.Store(snapshot.New(c, hash))
	return nil
}
