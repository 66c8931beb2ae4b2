// Package balancer picks the backend server for a request among those of the
// host's own failure domain. What this host counts and sees itself decides;
// what backend servers report of themselves only hints.
package balancer

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/loadreport"
	"celeryreach.example/celeryreach/outlier"
	"celeryreach.example/celeryreach/result"
	"celeryreach.example/celeryreach/slot"
)

// Balancer counts the slots of one service's backend servers.
type Balancer struct {
	// Clock times warm-ups, ejections and drains.
	Clock clockwork.Clock
	// Backends returns the backend servers in force.
	Backends func() []backend.Backend
	// Slots returns how many slots of a backend server this host owns now.
	Slots func(b backend.Backend) int
	// Released is called after a slot came free.
	Released func()
	// Drained is told how long the work in flight took to end after the first
	// sign of a drain; nil means nobody asks.
	Drained func(name, sign string, d time.Duration)
	// Random draws from [0, n); nil means a random source of its own.
	Random func(n int) int

	mu       sync.Mutex
	list     []backend.Backend
	names    []string
	servers  []*server
	known    map[string]*server
	mean     float64
	outliers outlier.Outlier
	kept     []kept
	ended    []drain
}

// kept is a slot that stays taken until a time.
type kept struct {
	server *server
	until  time.Time
	free   func()
}

// Acquire takes a slot of the better one of two backend servers with free
// slots. Hosts that all chose the best by the same lagging reports would send
// it all their requests at once.
func (b *Balancer) Acquire() (slot.Slot, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.Clock.Now()
	b.refresh(n)
	s := b.pick(n)
	if s == nil {
		return slot.Slot{}, false
	}
	s.busy++
	return b.slot(s, n, func() { s.busy-- }), true
}

// Load returns the usable and the busy slots.
func (b *Balancer) Load() (slots, busy int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.Clock.Now()
	b.refresh(n)
	for _, s := range b.servers {
		slots += b.usable(s, n)
		busy += s.busy
	}
	return slots, busy
}

// slot makes the slot of a request that starts now. Free runs under the lock
// when the backend server can have stopped.
func (b *Balancer) slot(s *server, now time.Time, free func()) slot.Slot {
	var once sync.Once
	return slot.Slot{
		Backend:  s.backend,
		Answered: func(status int, h http.Header) { b.answered(s, status, loadreport.Take(h)) },
		Release: func(r result.Result) {
			once.Do(func() { b.release(s, now, r, free) })
		},
	}
}

func (b *Balancer) answered(s *server, status int, r loadreport.Loadreport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.Clock.Now()
	s.failing = status >= http.StatusInternalServerError
	s.report(r, n)
	if !r.Draining {
		s.signs = 0
		return
	}
	b.drain(s, "Answer", n)
	if !s.leaving.After(n) {
		s.signs++
	}
	s.leave(n.Add(signFor << min(s.signs-1, maxDoublings)))
}

// release learns from the result. The slot of a request that was cut short is
// kept for a while, because the backend server works on until it has seen the
// connection close.
func (b *Balancer) release(s *server, began time.Time, r result.Result, free func()) {
	b.mu.Lock()
	n := b.Clock.Now()
	b.learn(s, r, n.Sub(began), n)
	d := s.linger
	if r == result.Succeeded || r == result.Unused || r == result.Refused {
		d = 0
	}
	if d == 0 {
		free()
		f := s.drained(n)
		b.mu.Unlock()
		b.report(f)
		b.Released()
		return
	}
	b.kept = append(b.kept, kept{server: s, until: n.Add(d), free: free})
	b.mu.Unlock()
	b.Clock.AfterFunc(d, b.Tick)
}

// Tick frees the slots whose time is over and reports drains. It is called at
// regular intervals, besides timers of its own.
func (b *Balancer) Tick() {
	b.mu.Lock()
	b.refresh(b.Clock.Now())
	f := b.ended
	b.ended = nil
	b.mu.Unlock()
	for _, d := range f {
		b.report(&d)
	}
	b.Released()
}

// drain notes the first sign of a drain. Operators wait for the report of its
// end on every host, so one that has no work there reports as well.
func (b *Balancer) drain(s *server, sign string, now time.Time) {
	switch {
	case s.sign != "":
	case s.busy == 0:
		b.ended = append(b.ended, drain{name: s.backend.Name, sign: sign})
	default:
		s.sign = sign
		s.signed = now
	}
}

// settle frees the slots whose time is over. It is done whenever slots are
// counted, since a timer may be late.
func (b *Balancer) settle(now time.Time) {
	b.kept = slices.DeleteFunc(b.kept, func(k kept) bool {
		if k.until.After(now) {
			return false
		}
		k.free()
		if d := k.server.drained(now); d != nil {
			b.ended = append(b.ended, *d)
		}
		return true
	})
}

func (b *Balancer) report(d *drain) {
	if d != nil && b.Drained != nil {
		b.Drained(d.name, d.sign, d.took)
	}
}

func (b *Balancer) learn(s *server, r result.Result, took time.Duration, now time.Time) {
	switch {
	case r == result.Succeeded && !s.failing:
		b.succeed(s, took.Seconds(), now)
	case r == result.Succeeded, r == result.Failed:
		if t, ok := b.outliers.Fail(s.backend.Name, b.names, now); ok {
			// It comes back as if it were cold: whatever was wrong, its first
			// requests show whether it is still.
			s.warm.Began = t
		}
	case r == result.Shed:
		// It had less room than was counted: what it did before has not ended.
		s.linger = min(max(2*s.linger, minLinger), maxLinger)
		s.sheds++
		s.away = now.Add(shedFor << min(s.sheds-1, maxShedDoublings))
	case r == result.Refused:
		b.drain(s, "Refused", now)
		s.refusals++
		s.away = now.Add(min(awayFor<<min(s.refusals-1, maxDoublings), maxAway))
		s.warm.Began = s.away
	}
}

func (b *Balancer) succeed(s *server, took float64, now time.Time) {
	b.outliers.Succeed(s.backend.Name)
	s.succeeded = now
	s.refusals = 0
	s.sheds = 0
	s.linger = max(s.linger-s.linger/lingerDecay, minLinger)
	average(&s.hold, took)
	average(&b.mean, took)
}

func (b *Balancer) random(n int) int {
	if b.Random != nil {
		return b.Random(n)
	}
	return rand.IntN(n)
}

// average moves a running mean, which starts with its first sample.
func average(m *float64, v float64) {
	if *m == 0 {
		*m = v
		return
	}
	*m += smoothing * (v - *m)
}
