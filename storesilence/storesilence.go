// Package storesilence detects when the store may hold changes that no host has
// received, because it hasn't answered for some time or has only just resumed
// answering.
package storesilence

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/deadline"
)

// checkInterval is how often the age of the store's last answer is checked.
const checkInterval = 100 * time.Millisecond

// Storesilence monitors the age of the store's last answer to any host.
type Storesilence struct {
	// Clock measures how long changes may be missing after a silence.
	Clock clockwork.Clock
	// Log receives one line when changes may be missing and one when no changes can be
	// missing any more.
	Log *log.Logger
	// Age returns the time since the store last answered this host or a host that sends
	// messages to this one; ok is false if the store never answered.
	Age func() (d time.Duration, ok bool)
	// MaxAge is the age from which changes may be missing.
	MaxAge time.Duration
	// LongSilence is the duration of a silence after which changes may be missing for
	// another Settle.
	LongSilence, Settle time.Duration
	// EntriesAge returns the age, as Age does, of the store's last answer on the
	// entries that carry the missing changes. After a long silence, changes may also be
	// missing until EntriesDelay after these entries are received.
	EntriesAge   func() (d time.Duration, ok bool)
	EntriesDelay time.Duration

	mu         sync.Mutex
	lastAge    time.Duration // result of Age at the last check
	silenceEnd time.Time     // end of the last long silence
	staleUntil time.Time     // changes may be missing until then
	logged     bool          // the last log line was that changes may be missing
}

// Run checks the age until ctx ends, so that no silence between requests is missed.
func (s *Storesilence) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		s.ChangesMissing()
		select {
		case <-ctx.Done():
		case <-s.Clock.After(checkInterval):
		}
	}
	return nil
}

// ChangesMissing reports whether the store may hold changes that no host has received.
func (s *Storesilence) ChangesMissing() bool {
	d, ok := s.Age()
	e, _ := s.EntriesAge()
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.Clock.Now()
	if s.lastAge+checkInterval >= s.LongSilence && d < s.lastAge {
		s.silenceEnd, s.staleUntil = n, n.Add(s.Settle)
	}
	s.lastAge = d
	if n.Before(s.staleUntil) && e >= n.Sub(s.silenceEnd) {
		s.staleUntil = deadline.Later(s.staleUntil, n.Add(s.EntriesDelay))
	}
	u := !ok || d >= s.MaxAge || n.Before(s.staleUntil)
	s.logChange(u && ok, d)
	return u
}

// logChange logs a change of the state. Before the first answer of the store nothing is
// logged.
func (s *Storesilence) logChange(stale bool, age time.Duration) {
	switch {
	case stale && !s.logged:
		s.Log.Warn("changes may be unheard", "StoreAge", age)
	case !stale && s.logged:
		s.Log.Info("changes are heard", "StoreAge", age)
	}
	s.logged = stale
}
