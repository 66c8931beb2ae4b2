// Package silence tells when something may have happened that only the store tells of,
// and no host has heard.
package silence

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/deadline"
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
	// Entries returns the same age as Age, of what tells afterwards what was unheard.
	// Until it is heard, and then for News, something still may be.
	Entries func() (d time.Duration, ok bool)
	News    time.Duration

	mu    sync.Mutex
	age   time.Duration // when last looked at
	ended time.Time     // when the last long silence did
	until time.Time
	told  bool
}

// Run looks at the age until ctx ends, so that no silence is missed between requests.
func (s *Silence) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		s.Unheard()
		select {
		case <-ctx.Done():
		case <-s.Clock.After(lookEvery):
		}
	}
	return nil
}

// Unheard reports whether something may be unheard that matters now.
func (s *Silence) Unheard() bool {
	d, ok := s.Age()
	e, _ := s.Entries()
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.Clock.Now()
	if s.age+lookEvery >= s.Long && d < s.age {
		s.ended, s.until = n, n.Add(s.Settle)
	}
	s.age = d
	if n.Before(s.until) && e >= n.Sub(s.ended) {
		s.until = deadline.Later(s.until, n.Add(s.News))
	}
	u := !ok || d >= s.After || n.Before(s.until)
	s.tell(u && ok, d)
	return u
}

// tell logs a change. Before the store was ever heard there is none.
func (s *Silence) tell(unheard bool, age time.Duration) {
	switch {
	case unheard && !s.told:
		s.Log.Warn("changes may be unheard", "StoreAge", age)
	case !unheard && s.told:
		s.Log.Info("changes are heard", "StoreAge", age)
	}
	s.told = unheard
}
