// Package shutdown holds the deadline of a host's graceful shutdown.
package shutdown

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// responseMargin is the time reserved for the response to a request that ends at its
// deadline.
const responseMargin = 250 * time.Millisecond

// Shutdown is the graceful shutdown of a host. All its waits end at one time, and after
// Begin the host starts no work that may last longer.
type Shutdown struct {
	// Clock measures the time that is left.
	Clock clockwork.Clock

	mu    sync.Mutex
	begun chan struct{} // closed by Begin, nil until it is needed
	by    time.Time     // when all waits end, zero before Begin
}

// Begin begins the shutdown, whose waits end after d. It must be called at most once.
func (s *Shutdown) Begin(d time.Duration) {
	c := s.channel()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.by = s.Clock.Now().Add(d)
	close(c)
}

// HasBegun reports whether the host was told to stop.
func (s *Shutdown) HasBegun() bool {
	return !s.end().IsZero()
}

// Begun returns a channel that Begin closes.
func (s *Shutdown) Begun() <-chan struct{} {
	return s.channel()
}

// By waits for Begin and returns when all waits end.
func (s *Shutdown) By() time.Time {
	<-s.Begun()
	return s.end()
}

// Allows reports whether a request with this deadline is certain to have its response
// before the host ends. It is asked before a request is sent to a backend server, not while
// one works at it.
func (s *Shutdown) Allows(deadline time.Time) bool {
	t := s.end()
	return t.IsZero() || !deadline.After(t.Add(-responseMargin))
}

func (s *Shutdown) channel() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.begun == nil {
		s.begun = make(chan struct{})
	}
	return s.begun
}

func (s *Shutdown) end() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.by
}
