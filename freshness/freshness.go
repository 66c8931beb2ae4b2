// Package freshness measures for how long hosts together have heard nothing of
// something that they depend on.
package freshness

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/staleness"
)

// Freshness remembers the last sign of life: of what is outside the failure
// domain, for keys that may have been withdrawn there, or of the store, for calls
// to it that wait.
type Freshness struct {
	// Clock is the host's monotonic clock.
	Clock clockwork.Clock

	mu    sync.Mutex
	heard time.Time
	seen  time.Time // of heard, what reached this host itself
}

// Seen notes a sign of life that reached this host.
func (f *Freshness) Seen() {
	n := f.Clock.Now()
	f.mu.Lock()
	f.seen = n
	f.mu.Unlock()
	f.note(n)
}

// Heard takes over what another host has seen itself. The age was measured when the
// message left, so the time it was under way makes the estimate younger than it is by
// one delivery. An age that was heard must not be passed on: it would lose a delivery
// at each host, and in circles never grow old.
func (f *Freshness) Heard(age int64) {
	if age > 0 {
		f.note(f.Clock.Now().Add(-time.Duration(age)))
	}
}

// Age returns the time since the last sign of life plus one nanosecond, zero
// when there was none.
func (f *Freshness) Age() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.since(f.heard)
}

// Own returns the age of what reached this host itself, in the form of Age. It is
// what heartbeats carry.
func (f *Freshness) Own() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.since(f.seen)
}

// Left returns for how much longer the last sign of life is younger than limit,
// zero if it is older or if there was none.
func (f *Freshness) Left(limit time.Duration) time.Duration {
	a := f.Age()
	if a == 0 {
		return 0
	}
	return max(limit-time.Duration(a), 0)
}

// Stale reports whether keys may no longer be trusted. A host that never heard
// anything from outside cannot know how old its configuration is.
func (f *Freshness) Stale(s staleness.Staleness, nonIdempotent bool) bool {
	l := s.Idempotent
	if nonIdempotent {
		l = s.NonIdempotent
	}
	a := f.Age()
	return a == 0 || time.Duration(a) > l
}

func (f *Freshness) since(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return int64(f.Clock.Since(t)) + 1
}

func (f *Freshness) note(t time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t.After(f.heard) {
		f.heard = t
	}
}
