// Package replica keeps a host on the newest version of one kind of content,
// from the platform or from any peer.
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

	"celeryreach.example/celeryreach/accepted"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/delta"
	"celeryreach.example/celeryreach/store"
	"celeryreach.example/celeryreach/wire"
)

const (
	// pieceBytes bounds one message, well under the 4 MB that drpc reads.
	pieceBytes = 1 << 20
	// stepBytes bounds what is kept for peers that are some versions behind.
	stepBytes = 1 << 20
)

// Replica holds one content. It takes only versions higher than the one it
// has, and only content that has the hash it was announced with.
type Replica struct {
	// Kind names the content in messages.
	Kind string
	// Key is the key of the table row that names the accepted version.
	Key string
	// Log receives one line for each applied version and each fault.
	Log *log.Logger
	// Platform is read by Run.
	Platform store.Store
	// Clock paces the reading.
	Clock clockwork.Clock
	// Every returns the time until the next read.
	Every func() time.Duration
	// Polled is told of each read that the platform answered; nil tells nobody.
	Polled func()
	// Apply puts a content in force. An error refuses it.
	Apply func(version uint64, hash string, content []byte) error
	// Changed is called after a version was applied; nil calls nothing.
	Changed func()

	read     atomic.Bool
	applying sync.Mutex
	mu       sync.Mutex
	version  uint64
	hash     string
	content  []byte
	steps    []*wire.Step
	size     int
	forked   uint64
}

// Digest returns the version that is in force, zero before the first.
func (r *Replica) Digest() *wire.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &wire.Version{Kind: r.Kind, Version: r.version, Hash: r.hash}
}

// Content returns the content in force as it is stored.
func (r *Replica) Content() (version uint64, hash string, content []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version, r.hash, r.content
}

// Forked returns how often another content was seen under the own version.
func (r *Replica) Forked() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.forked
}

// Compare reports whether a peer's digest names a higher version. Two contents
// under one version can only come from a platform that lost what it had
// accepted; the host keeps its own, since changing it would be a reversal, and
// says so.
func (r *Replica) Compare(v *wire.Version, from string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v.Version == r.version && !strings.HasPrefix(r.hash, v.Hash) {
		r.forked++
		r.Log.Error("two contents under one version", "Kind", r.Kind, "Version", v.Version, "Own", r.hash, "Other", v.Hash, "From", from)
	}
	return v.Version > r.version
}

// Run reads the platform until ctx ends.
func (r *Replica) Run(ctx context.Context) error {
	for {
		err := r.Poll(ctx)
		if err != nil && ctx.Err() == nil {
			r.Log.Warn("platform not read", "Kind", r.Kind, "Error", err)
		}
		if err == nil {
			r.read.Store(true)
			if r.Polled != nil {
				r.Polled()
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-r.Clock.After(r.Every()):
		}
	}
}

// Read reports whether Run has taken the accepted version from the platform.
func (r *Replica) Read() bool {
	return r.read.Load()
}

// Poll takes the accepted version from the platform.
func (r *Replica) Poll(ctx context.Context) error {
	w, err := r.Platform.Read(ctx, r.Key)
	if err != nil || w.Version == 0 {
		return err
	}
	var a accepted.Accepted
	if err := codec.Unmarshal(w.Value, &a); err != nil {
		return errors.Wrap(err, r.Kind)
	}
	if !r.Compare(&wire.Version{Version: a.Version, Hash: a.Hash}, "platform") {
		return nil
	}
	b, err := r.Platform.GetObject(ctx, accepted.ObjectName(r.Key, a.Hash))
	if err != nil {
		return errors.Wrap(err, r.Kind)
	}
	return r.Offer(a.Version, a.Hash, b)
}

// Offer applies a content if its version is higher than the one in force.
func (r *Replica) Offer(version uint64, hash string, content []byte) error {
	return r.put(version, hash, content, nil)
}

// put applies a content. Steps are those that led to it, nil if it came whole.
func (r *Replica) put(version uint64, hash string, content []byte, steps []*wire.Step) error {
	r.applying.Lock()
	defer r.applying.Unlock()
	v, _, o := r.Content()
	if version <= v {
		return nil
	}
	if accepted.Hash(content) != hash {
		return errors.Errorf("%s %d: content does not have hash %s", r.Kind, version, hash)
	}
	if err := r.Apply(version, hash, content); err != nil {
		return errors.Wrapf(err, "%s %d", r.Kind, version)
	}
	if steps == nil && v > 0 && version == v+1 {
		steps = []*wire.Step{{Version: version, Hash: hash, Delta: delta.Make(o, content)}}
	}
	r.mu.Lock()
	r.keep(steps)
	r.version = version
	r.hash = hash
	r.content = content
	r.mu.Unlock()
	r.Log.Info("applied", "Kind", r.Kind, "Version", version)
	if r.Changed != nil {
		r.Changed()
	}
	return nil
}

// keep remembers steps for peers that are behind; a gap forgets the earlier
// ones, which lead nowhere.
func (r *Replica) keep(steps []*wire.Step) {
	if len(steps) == 0 || steps[0].Version != r.version+1 {
		r.steps = nil
		r.size = 0
	}
	for _, s := range steps {
		r.steps = append(r.steps, s)
		r.size += len(s.Delta)
	}
	for r.size > stepBytes {
		r.size -= len(r.steps[0].Delta)
		r.steps = r.steps[1:]
	}
}
