// Package balancer picks the backend server for a request among the backend
// servers of the host's own failure domain. Decisions are based on the host's
// own counts and observations; reports of backend servers about themselves are
// treated as hints only.
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

// Balancer tracks the slots of one service's backend servers.
type Balancer struct {
	// Clock is the time source for warm-ups, ejections and drains.
	Clock clockwork.Clock
	// Backends returns the backend servers of the configuration in force.
	Backends func() []backend.Backend
	// Slots returns how many slots of a backend server this host owns now.
	Slots func(b backend.Backend) int
	// OnReleased is called after a slot was freed.
	OnReleased func()
	// OnDrained is called with the time from the first sign of a drain until the
	// requests in flight ended; nil disables the call.
	OnDrained func(name, sign string, d time.Duration)
	// Random returns a random number in [0, n); nil means math/rand/v2.
	Random func(n int) int

	mu           sync.Mutex
	lastBackends []backend.Backend
	names        []string
	servers      []*server
	byName       map[string]*server
	meanHold     float64
	outliers     outlier.Outlier
	held         []heldSlot
	endedDrains  []drain
}

// heldSlot is a slot that stays occupied until a given time.
type heldSlot struct {
	server *server
	until  time.Time
	free   func()
}

// Acquire takes a slot of the better of two randomly drawn backend servers with
// free slots. If all hosts chose the best one by the same delayed reports, they
// would send it all their requests at once.
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

// Load returns the numbers of usable and busy slots.
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

// slot creates the slot of a request that starts now. The function free is
// called under the lock when the backend server can be assumed to have stopped
// working on the request.
func (b *Balancer) slot(s *server, now time.Time, free func()) slot.Slot {
	var once sync.Once
	return slot.Slot{
		Backend:    s.backend,
		OnResponse: func(status int, h http.Header) { b.recordAnswer(s, status, loadreport.Extract(h)) },
		Release: func(r result.Result) {
			once.Do(func() { b.release(s, now, r, free) })
		},
	}
}

func (b *Balancer) recordAnswer(s *server, status int, r loadreport.Loadreport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.Clock.Now()
	s.lastAnswerFailed = status >= http.StatusInternalServerError
	s.recordLoad(r, n)
	if !r.Draining {
		s.answerDrains = 0
		return
	}
	b.beginDrain(s, "Answer", n)
	if !s.drainUntil.After(n) {
		s.answerDrains++
	}
	s.extendDrain(n.Add(drainSignValidity << min(s.answerDrains-1, maxDoublings)))
}

// release records the result and frees the slot. The slot of an aborted request
// stays occupied for a while, because the backend server continues to work
// until it notices that the connection was closed.
func (b *Balancer) release(s *server, began time.Time, r result.Result, free func()) {
	b.mu.Lock()
	n := b.Clock.Now()
	b.recordResult(s, r, n.Sub(began), n)
	d := s.releaseDelay
	if r == result.Succeeded || r == result.Unused || r == result.Refused {
		d = 0
	}
	if d == 0 {
		free()
		f := s.completeDrain(n)
		b.mu.Unlock()
		b.reportDrain(f)
		b.OnReleased()
		return
	}
	b.held = append(b.held, heldSlot{server: s, until: n.Add(d), free: free})
	b.mu.Unlock()
	b.Clock.AfterFunc(d, b.Tick)
}

// Tick frees the held slots whose time is over and reports ended drains. It
// must be called at regular intervals; the balancer's own timers call it as
// well.
func (b *Balancer) Tick() {
	b.mu.Lock()
	b.refresh(b.Clock.Now())
	f := b.endedDrains
	b.endedDrains = nil
	b.mu.Unlock()
	for _, d := range f {
		b.reportDrain(&d)
	}
	b.OnReleased()
}

// beginDrain records the first sign of a drain. Operators wait until every host
// has reported the end of the drain, so a host without requests in flight on
// the backend server reports it too.
func (b *Balancer) beginDrain(s *server, sign string, now time.Time) {
	switch {
	case s.drainSign != "":
	case s.busy == 0:
		b.endedDrains = append(b.endedDrains, drain{name: s.backend.Name, sign: sign})
	default:
		s.drainSign = sign
		s.drainBegan = now
	}
}

// releaseExpired frees the held slots whose time is over. It runs whenever
// slots are counted, because a timer may be late.
func (b *Balancer) releaseExpired(now time.Time) {
	b.held = slices.DeleteFunc(b.held, func(k heldSlot) bool {
		if k.until.After(now) {
			return false
		}
		k.free()
		if d := k.server.completeDrain(now); d != nil {
			b.endedDrains = append(b.endedDrains, *d)
		}
		return true
	})
}

func (b *Balancer) reportDrain(d *drain) {
	if d != nil && b.OnDrained != nil {
		b.OnDrained(d.name, d.sign, d.took)
	}
}

func (b *Balancer) recordResult(s *server, r result.Result, took time.Duration, now time.Time) {
	switch {
	case r == result.Succeeded && !s.lastAnswerFailed:
		b.recordSuccess(s, took.Seconds(), now)
	case r == result.Succeeded, r == result.Failed:
		if t, ok := b.outliers.Fail(s.backend.Name, b.names, now); ok {
			// After its ejection, the backend server is treated as cold: its
			// first requests show whether the fault persists.
			s.warmup.StartedAt = t
		}
	case r == result.Shed:
		// The backend server had fewer free slots than this host had counted,
		// because earlier requests were still running.
		s.releaseDelay = min(max(2*s.releaseDelay, minReleaseDelay), maxReleaseDelay)
		s.sheds++
		s.avoidUntil = now.Add(shedBackoff << min(s.sheds-1, maxShedDoublings))
	case r == result.Refused:
		b.beginDrain(s, "Refused", now)
		s.refusals++
		s.avoidUntil = now.Add(min(refusedBackoff<<min(s.refusals-1, maxDoublings), maxRefusedBackoff))
		s.warmup.StartedAt = s.avoidUntil
	}
}

func (b *Balancer) recordSuccess(s *server, took float64, now time.Time) {
	b.outliers.Succeed(s.backend.Name)
	s.succeededAt = now
	s.refusals = 0
	s.sheds = 0
	s.releaseDelay = max(s.releaseDelay-s.releaseDelay/releaseDelayDecay, minReleaseDelay)
	updateMean(&s.meanHold, took)
	updateMean(&b.meanHold, took)
}

func (b *Balancer) random(n int) int {
	if b.Random != nil {
		return b.Random(n)
	}
	return rand.IntN(n)
}

// updateMean adds a sample to a running mean, which starts with the first
// sample.
func updateMean(m *float64, v float64) {
	if *m == 0 {
		*m = v
		return
	}
	*m += smoothing * (v - *m)
}
