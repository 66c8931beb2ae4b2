// Package stalled ends the waits for clients that keep a host waiting longest.
package stalled

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Stalled holds the running waits for clients: for the rest of a header or body, or for a
// response to be read. What such a wait occupies can be taken back at any time.
type Stalled struct {
	// Clock measures the waits.
	Clock clockwork.Clock

	mu    sync.Mutex
	waits map[*wait]struct{}
}

type wait struct {
	since time.Time
	end   func()
}

// Add adds a wait in which the client has made no progress since a given time. End ends the
// wait; it must not block or call Stalled. Done removes the wait; end is not called afterwards.
func (s *Stalled) Add(since time.Time, end func()) (done func()) {
	if s == nil {
		return func() {}
	}
	w := &wait{since: since, end: end}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waits == nil {
		s.waits = make(map[*wait]struct{})
	}
	s.waits[w] = struct{}{}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.waits, w)
	}
}

// EndOldest ends the wait that has lasted longest, and reports whether one has lasted for least
// or longer.
func (s *Stalled) EndOldest(least time.Duration) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var o *wait
	for w := range s.waits {
		if o == nil || w.since.Before(o.since) {
			o = w
		}
	}
	if o == nil || s.Clock.Since(o.since) < least {
		return false
	}
	delete(s.waits, o)
	o.end()
	return true
}
