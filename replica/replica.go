// Package replica keeps a host on the latest version of one kind of content,
// received from the platform or from any peer.
package replica

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/acceptedversion"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/delta"
	"celeryreach.example/celeryreach/store"
	"celeryreach.example/celeryreach/wire"
)

const (
	// maxPieceBytes limits the content in one message. The limit is well below
	// the 4 MB that drpc accepts in a message.
	maxPieceBytes = 1 << 20
	// maxStepBytes limits the deltas that are kept for peers that are several
	// versions behind.
	maxStepBytes = 1 << 20
)

// Replica holds one content. It accepts only versions higher than its own, and only
// content that matches the announced hash.
type Replica struct {
	// Kind identifies the content in messages.
	Kind string
	// Key is the key of the table row that contains the accepted version.
	Key string
	// Log receives one line for each applied version and each error.
	Log *log.Logger
	// Store is polled by Run.
	Store store.Store
	// Clock paces the reads of the platform.
	Clock clockwork.Clock
	// PollInterval returns the time until the next read.
	PollInterval func() time.Duration
	// OnPoll is called after each read that the platform answered. It may be nil.
	OnPoll func()
	// Apply puts a content in force. If it returns an error, the content is
	// rejected.
	Apply func(version uint64, hash string, content []byte) error
	// OnChange is called after a version was applied. It may be nil.
	OnChange func()

	platformRead atomic.Bool
	applying     sync.Mutex
	mu           sync.Mutex
	version      uint64
	hash         string
	content      []byte
	steps        []*wire.Step // deltas that lead to the current version, oldest first
	stepBytes    int          // total size of the deltas in steps
	divergences  uint64
}

// CurrentVersion returns the version and hash of the content in force. Version
// is zero before the first content.
func (r *Replica) CurrentVersion() *wire.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &wire.Version{Kind: r.Kind, Version: r.version, Hash: r.hash}
}

// Content returns the content in force in its stored form.
func (r *Replica) Content() (version uint64, hash string, content []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version, r.hash, r.content
}

// Divergences returns how often a peer or the platform announced a different
// content under this host's version.
func (r *Replica) Divergences() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.divergences
}

// IsBehind reports whether a peer's digest has a higher version. Two contents
// can have the same version only if the platform has lost versions that it had
// accepted. The host then keeps its own content, because replacing it would
// revert what is in force, and logs an error.
func (r *Replica) IsBehind(v *wire.Version, from string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v.Version == r.version && !strings.HasPrefix(r.hash, v.Hash) {
		r.divergences++
		r.Log.Error("two contents under one version", "Kind", r.Kind, "Version", v.Version, "Own", r.hash, "Other", v.Hash, "From", from)
	}
	return v.Version > r.version
}

// Run reads the platform regularly until ctx ends.
func (r *Replica) Run(ctx context.Context) error {
	for {
		err := r.Poll(ctx)
		if err != nil && ctx.Err() == nil {
			r.Log.Warn("platform not read", "Kind", r.Kind, "Error", err)
		}
		if err == nil {
			r.platformRead.Store(true)
			if r.OnPoll != nil {
				r.OnPoll()
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-r.Clock.After(r.PollInterval()):
		}
	}
}

// HasPolled reports whether Run has read the platform successfully at least once.
func (r *Replica) HasPolled() bool {
	return r.platformRead.Load()
}

// Poll reads the accepted version from the platform and applies it if it is newer.
func (r *Replica) Poll(ctx context.Context) error {
	w, err := r.Store.Read(ctx, r.Key)
	if err != nil || w.Version == 0 {
		return err
	}
	var a acceptedversion.Acceptedversion
	if err := codec.Unmarshal(w.Value, &a); err != nil {
		return errors.Wrap(err, r.Kind)
	}
	if !r.IsBehind(&wire.Version{Version: a.Version, Hash: a.Hash}, "platform") {
		return nil
	}
	b, err := r.Store.GetObject(ctx, acceptedversion.ObjectName(r.Key, a.Hash))
	if err != nil {
		return errors.Wrap(err, r.Kind)
	}
	return r.Offer(a.Version, a.Hash, b)
}

// Offer applies a content if its version is higher than the one in force.
func (r *Replica) Offer(version uint64, hash string, content []byte) error {
	return r.install(version, hash, content, nil)
}

// install applies a content. steps are the deltas that led to it, nil if the full
// content was received.
func (r *Replica) install(version uint64, hash string, content []byte, steps []*wire.Step) error {
	r.applying.Lock()
	defer r.applying.Unlock()
	v, _, o := r.Content()
	if version <= v {
		return nil
	}
	if acceptedversion.Hash(content) != hash {
		return errors.Errorf("%s %d: content does not have hash %s", r.Kind, version, hash)
	}
	if err := r.Apply(version, hash, content); err != nil {
		return errors.Wrapf(err, "%s %d", r.Kind, version)
	}
	if steps == nil && v > 0 && version == v+1 {
		steps = []*wire.Step{{Version: version, Hash: hash, Delta: delta.Make(o, content)}}
	}
	r.mu.Lock()
	r.recordSteps(steps)
	r.version = version
	r.hash = hash
	r.content = content
	r.mu.Unlock()
	r.Log.Info("new version applied", "Kind", r.Kind, "Version", version)
	if r.OnChange != nil {
		r.OnChange()
	}
	return nil
}

// recordSteps keeps deltas for peers that are behind. If there is a gap between the
// kept deltas and the new ones, the kept ones are dropped, since they no longer
// lead to the current version.
func (r *Replica) recordSteps(steps []*wire.Step) {
	if len(steps) == 0 || steps[0].Version != r.version+1 {
		r.steps = nil
		r.stepBytes = 0
	}
	for _, s := range steps {
		r.steps = append(r.steps, s)
		r.stepBytes += len(s.Delta)
	}
	for r.stepBytes > maxStepBytes {
		r.stepBytes -= len(r.steps[0].Delta)
		r.steps = r.steps[1:]
	}
}
