// Package silence tells when something may have happened that only the store tells of,
// and no host has heard.
package silence

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
)

// lookEvery is how often the age of the store's last answer is looked at.
const lookEvery = 100 * time.Millisecond

// Silence follows the age of the store's last answer to any host.
type Silence struct {
	// Clock measures for how long something may go on unheard after a silence.
	Clock clockwork.Clock
	// Log receives one line when something may be unheard and one when nothing is.
	Log *log.Logger
	// Age returns how long ago the store last answered a host that this one hears; ok
	// is false if it never did.
	Age func() (d time.Duration, ok bool)
	// After is the age from which something may be unheard.
	After time.Duration
	// Long is how long a silence has lasted of which that holds for Settle after its end.
	Long, Settle time.Duration

	mu      sync.Mutex
	age     time.Duration // when last looked at
	until   time.Time
	unheard bool
}

// Run looks at the age until ctx ends.
func (s *Silence) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		s.Look()
		select {
		case <-ctx.Done():
		case <-s.Clock.After(lookEvery):
		}
	}
	return nil
}

// Unheard reports whether something may be unheard that matters now.
func (s *Silence) Unheard() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unheard
}

// Look looks at the age.
func (s *Silence) Look() {
	d, ok := s.Age()
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.Clock.Now()
	if s.age+lookEvery >= s.Long && d < s.age {
		s.until = n.Add(s.Settle)
	}
	s.age = d
	u := ok && (d >= s.After || n.Before(s.until))
	switch {
	case u && !s.unheard:
		s.Log.Warn("changes may be unheard", "StoreAge", d)
	case !u && s.unheard:
		s.Log.Info("changes are heard", "StoreAge", d)
	}
	s.unheard = u
}
