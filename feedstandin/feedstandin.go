// Package feedstandin stands in for a table of the store and its feed of changes,
// with silences that outlast themselves: a call that was open in one is never
// answered. It is for tests that run in virtual time.
package feedstandin

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/row"
)

// Feedstandin is the table.
type Feedstandin struct {
	clock clockwork.Clock

	mu      sync.Mutex
	rows    []row.Row // every change, in order
	version uint64
	changed chan struct{}
	mute    map[string]bool // callers whose calls are lost now
	epoch   map[string]int  // counts their silences
	slow    time.Duration   // how long each answer takes
}

// New returns an empty table.
func New(c clockwork.Clock) *Feedstandin {
	return &Feedstandin{clock: c, changed: make(chan struct{}), mute: make(map[string]bool), epoch: make(map[string]int)}
}

// Mute begins or ends a silence for callers.
func (s *Feedstandin) Mute(mute bool, callers ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range callers {
		s.mute[c] = mute
		s.epoch[c]++
	}
}

// Slow makes each answer take d.
func (s *Feedstandin) Slow(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = d
}

// Put writes a row and returns the table's new version.
func (s *Feedstandin) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows = append(s.rows, row.Row{Key: key, Value: value, Version: s.version})
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

// Feed answers a call of the feed.
func (s *Feedstandin) Feed(ctx context.Context, caller string, after uint64, wait time.Duration) ([]row.Row, uint64, error) {
	s.mu.Lock()
	e := s.epoch[caller]
	s.mu.Unlock()
	t := s.clock.After(wait)
	for o := false; ; {
		l, v, c, ok := s.since(caller, e, after)
		switch {
		case !ok:
			<-ctx.Done()
			return nil, 0, ctx.Err()
		case len(l) > 0 || o:
			return l, v, s.delay(ctx)
		}
		select {
		case <-c:
		case <-t:
			o = true
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func (s *Feedstandin) delay(ctx context.Context) error {
	s.mu.Lock()
	d := s.slow
	s.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-s.clock.After(d):
		return nil
	}
}

// since returns the changes after a version, the table's version, a channel that the
// next change closes, and whether a call begun in epoch can be answered.
func (s *Feedstandin) since(caller string, epoch int, after uint64) (l []row.Row, v uint64, c <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.rows {
		if r.Version > after {
			l = append(l, r)
		}
	}
	return l, s.version, s.changed, !s.mute[caller] && s.epoch[caller] == epoch
}
