// Package freshness measures the time since a group of hosts last had contact with
// something that they depend on.
package freshness

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/deadline"
	"celeryreach.example/celeryreach/staleness"
)

// Freshness records the time of the last contact. One use records contacts with
// anything outside the failure domain, to bound the use of keys that may have been
// withdrawn there. Another use records contacts with the store, to supervise pending
// calls to the store.
type Freshness struct {
	// Clock is the host's monotonic clock.
	Clock clockwork.Clock
	// MinOutage is the shortest time without contact that counts as an outage. If it is
	// zero, none counts.
	MinOutage time.Duration
	// ReportDelay is how long after a contact of another host its report may arrive.
	ReportDelay time.Duration

	mu          sync.Mutex
	lastContact time.Time
	lastDirect  time.Time // the last contact of this host itself
	outageEnd   time.Time // the first contact after the last outage
	lastNews    time.Time // the last news since lastContact, after an outage that the first one ended
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

// RecordNews records that another host passed on news that some host got by a contact. When
// that was is not known. If this host had no report for too long, an outage may have ended.
func (f *Freshness) RecordNews() {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.Clock.Now()
	if !f.wasCutOff(n) {
		return
	}
	if f.lastNews.IsZero() {
		f.outageEnd = n
	}
	f.lastNews = n
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

// OutageEnd returns when the last outage ended, by the first contact after it, zero if there
// was none. While an outage lasts, it is still that of the one before.
func (f *Freshness) OutageEnd() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outageEnd
}

// SteadySince returns the end of the last outage, the current time while one lasts, and zero if
// there was none.
func (f *Freshness) SteadySince() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.Clock.Now()
	if f.MinOutage > 0 && !f.lastContact.IsZero() && n.Sub(f.lastContact) >= f.MinOutage {
		return n
	}
	return f.outageEnd
}

// OwnIsLast reports whether no other host is known to have had a later contact than this one.
func (f *Freshness) OwnIsLast() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.lastDirect.Before(f.lastContact)
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
	if !t.After(f.lastContact) {
		return
	}
	f.recordOutage(t)
	f.lastContact, f.lastNews = t, time.Time{}
}

// recordOutage records the outage that a contact ends, if it ends one. The reports that a host
// gets after it was cut off with a part of the group tell nothing of that part, so that its
// outage ends now.
func (f *Freshness) recordOutage(contact time.Time) {
	n := f.Clock.Now()
	switch {
	case f.MinOutage == 0 || f.lastContact.IsZero():
	case f.wasCutOff(n) && f.lastNews.IsZero():
		f.outageEnd = n
	case contact.Sub(deadline.Later(f.lastContact, f.lastNews)) >= f.MinOutage:
		f.outageEnd = deadline.Later(f.outageEnd, contact)
	}
}

// wasCutOff reports whether an outage may have passed of which this host had no report.
func (f *Freshness) wasCutOff(now time.Time) bool {
	return f.MinOutage > 0 && !f.lastContact.IsZero() && now.Sub(f.lastContact) >= f.MinOutage+f.ReportDelay
}
