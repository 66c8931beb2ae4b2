// Package freshness measures how long a failure domain has been unable to hear
// of withdrawn keys.
package freshness

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/staleness"
)

// Freshness remembers the last sign of life from outside the failure domain:
// an answer of the platform, or a message of a host of another failure domain.
type Freshness struct {
	// Clock is the host's monotonic clock.
	Clock clockwork.Clock

	mu    sync.Mutex
	heard time.Time
}

// Outside notes a sign of life from outside the failure domain.
func (f *Freshness) Outside() {
	f.note(f.Clock.Now())
}

// Sibling takes over what a host of the same failure domain has heard. The age
// was measured when the message left, so the time it was under way makes the
// estimate younger than it is by one delivery, milliseconds against minutes.
func (f *Freshness) Sibling(age int64) {
	if age > 0 {
		f.note(f.Clock.Now().Add(-time.Duration(age)))
	}
}

// Age returns the time since the last sign of life plus one nanosecond, zero
// when there was none: the form in which heartbeats carry it.
func (f *Freshness) Age() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.heard.IsZero() {
		return 0
	}
	return int64(f.Clock.Since(f.heard)) + 1
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

func (f *Freshness) note(t time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t.After(f.heard) {
		f.heard = t
	}
}
