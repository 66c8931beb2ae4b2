// Package reportorder recognizes reports of backend servers that the store performed out of
// order. A write that the store has not answered may be performed seconds after the next one, so
// the last report that a host reads need not be the last one that was made.
package reportorder

import (
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/deadline"
)

const (
	// lateWriteTime is longer than the store takes to perform a write that it has not answered.
	lateWriteTime = 10 * time.Second
	// returnTime is how long after an outage of the store entries that lapsed in it return, with the
	// time until this host has read them.
	returnTime = 3 * time.Second
	// retention is how long a process is remembered after its entry was last listed.
	retention = 10 * time.Minute
)

// Reportorder remembers the latest report of each backend server. A start orders the processes of
// one name, and a number the reports of one process. A removal has no number, so a process that
// is listed again is believed when its report has stood for longer than one from before the
// removal would. Reportorder must not be used concurrently.
type Reportorder struct {
	// Clock measures how long reports are in doubt.
	Clock clockwork.Clock
	// LapseTime is how long after the last report of a process the store removes its entry.
	LapseTime time.Duration
	// SteadySince returns since when the store has answered without an outage: the current time
	// while it does not answer, zero if there was no outage. Nil means that there is none.
	SteadySince func() time.Time

	latest map[string]*latest
}

// latest is the latest report of a backend server.
type latest struct {
	started, sequence int64
	draining          bool
	seen              time.Time // when an entry of that name was last listed
	removed           bool
	lapsed            bool      // it was removed since it lapsed in an outage of the store
	doubtedSince      time.Time // since when the store shows a report that is not believed
}

// Accept returns what holds of a backend server after a report was read. It returns false if the
// report is outdated, or may be. One that stays in the store for longer than an outdated one would
// is believed in the end: it corrects an entry that another writer has changed. A process that has
// reported that it drains doesn't take that back.
func (r *Reportorder) Accept(b backend.Backend) (backend.Backend, bool) {
	n := r.Clock.Now()
	v := r.latest[b.Name]
	if v == nil || b.Started == 0 || v.started == 0 {
		r.set(b, n)
		return b, true
	}
	if r.isDoubtful(v, b) {
		v.seen = n
		if v.doubtedSince.IsZero() {
			v.doubtedSince = n
		}
		// By then all reports that were outdated at doubtedSince have been performed, and have lapsed.
		if n.Before(deadline.Later(v.doubtedSince, r.steadySince()).Add(lateWriteTime + r.LapseTime)) {
			return b, false
		}
	}
	b.Draining = b.Draining || v.draining && v.started == b.Started
	r.set(b, n)
	return b, true
}

func (r *Reportorder) set(b backend.Backend, now time.Time) {
	if r.latest == nil {
		r.latest = make(map[string]*latest)
	}
	v := r.latest[b.Name]
	if v == nil {
		v = new(latest)
		r.latest[b.Name] = v
	}
	*v = latest{started: b.Started, sequence: b.Sequence, draining: b.Draining, seen: now}
}

// isDoubtful reports whether b may be older than the latest report or its removal.
func (r *Reportorder) isDoubtful(v *latest, b backend.Backend) bool {
	switch {
	case b.Started != v.started:
		return b.Started < v.started
	case !v.removed:
		return b.Sequence < v.sequence
	case b.Sequence != 0 && b.Sequence <= v.sequence:
		return true
	}
	d := r.Clock.Since(r.steadySince())
	return !v.lapsed || d <= 0 || d > returnTime
}

func (r *Reportorder) steadySince() time.Time {
	if r.SteadySince == nil {
		return time.Time{}
	}
	return r.SteadySince()
}

// Remove records that the entry of a backend server is gone. It lapsed if its process may live, and
// lost its entry in an outage of the store.
func (r *Reportorder) Remove(name string, lapsed bool) {
	v := r.latest[name]
	if v == nil {
		return
	}
	v.doubtedSince = time.Time{}
	if !v.removed {
		v.removed, v.lapsed = true, lapsed
	}
}

// DoubtedFor returns for how long the store has answered and shown a report that is not believed.
func (r *Reportorder) DoubtedFor(name string) time.Duration {
	v := r.latest[name]
	if v == nil || v.doubtedSince.IsZero() {
		return 0
	}
	return r.Clock.Since(deadline.Later(v.doubtedSince, r.steadySince()))
}

// HasLeft reports whether a process has reported that it drains, or another one has started in its
// place.
func (r *Reportorder) HasLeft(name string, started int64) bool {
	v := r.latest[name]
	return v != nil && (v.started > started || v.started == started && v.draining)
}

// Forget forgets backend servers that were not listed for a long time.
func (r *Reportorder) Forget(isListed func(name string) bool) {
	n := r.Clock.Now()
	for k, v := range r.latest {
		switch {
		case isListed(k):
			v.seen = n
		case n.Sub(v.seen) > retention:
			delete(r.latest, k)
		}
	}
}
