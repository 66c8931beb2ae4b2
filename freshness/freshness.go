// Package freshness measures the time since a group of hosts last had contact with
// something that they depend on.
package freshness

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/staleness"
)

// Freshness records the time of the last contact. One use records contacts with
// anything outside the failure domain, to bound the use of keys that may have been
// withdrawn there. Another use records contacts with the store, to supervise pending
// calls to the store.
type Freshness struct {
	// Clock is the host's monotonic clock.
	Clock clockwork.Clock

	mu          sync.Mutex
	lastContact time.Time
	lastDirect  time.Time // the last contact of this host itself
}

// RecordContact records a contact of this host itself.
func (f *Freshness) RecordContact() {
	n := f.Clock.Now()
	f.mu.Lock()
	f.lastDirect = n
	f.mu.Unlock()
	f.update(n)
}

// RecordRemoteAge records the age of another host's own last contact. The age was
// measured when the message was sent, so the recorded contact is too recent by one
// delivery time. A host must not pass on an age that it received: at each hop the age
// would become too low by another delivery time, and an age passed around in a circle
// would never grow.
func (f *Freshness) RecordRemoteAge(age int64) {
	if age > 0 {
		f.update(f.Clock.Now().Add(-time.Duration(age)))
	}
}

// Age returns the time in nanoseconds since the last contact, plus one, or zero if
// there was no contact.
func (f *Freshness) Age() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ageOf(f.lastContact)
}

// OwnAge returns the time since the last contact of this host itself, in the form of
// Age. This is the age to send to other hosts.
func (f *Freshness) OwnAge() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ageOf(f.lastDirect)
}

// Remaining returns the time until the last contact is older than limit; zero if it
// already is or if there was none.
func (f *Freshness) Remaining(limit time.Duration) time.Duration {
	a := f.Age()
	if a == 0 {
		return 0
	}
	return max(limit-time.Duration(a), 0)
}

// Stale reports whether keys may no longer be accepted. A host that has had no contact
// with the outside can't know the age of its configuration, so its keys count as stale.
func (f *Freshness) Stale(s staleness.Staleness, nonIdempotent bool) bool {
	l := s.Idempotent
	if nonIdempotent {
		l = s.NonIdempotent
	}
	a := f.Age()
	return a == 0 || time.Duration(a) > l
}

func (f *Freshness) ageOf(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return int64(f.Clock.Since(t)) + 1
}

func (f *Freshness) update(t time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t.After(f.lastContact) {
		f.lastContact = t
	}
}
