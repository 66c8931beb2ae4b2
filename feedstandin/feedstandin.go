// Package feedstandin simulates a table of the store and its change feed, with
// periods in which calls get no answer. A call that was open during such a
// period is never answered, even after the period has ended. It is for tests
// that run in virtual time.
package feedstandin

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/row"
)

// ErrRefused is returned to callers that are turned away.
var ErrRefused = errors.New("too many requests")

// ErrHistoryLost is returned for a version before the last call of DropHistory.
var ErrHistoryLost = errors.New("history lost")

// Feedstandin is a simulated table with a change feed.
type Feedstandin struct {
	clock clockwork.Clock

	mu          sync.Mutex
	changes     []row.Row // all changes, in order of version
	version     uint64
	changed     chan struct{}
	muted       map[string]bool // callers whose calls get no answer
	epochs      map[string]int  // number of SetMuted and SetRefused calls by caller
	refused     map[string]bool // callers whose calls fail at once
	answerDelay time.Duration   // delay of each answer
	oldest      uint64          // calls can continue from this version
}

// New returns an empty table.
func New(c clockwork.Clock) *Feedstandin {
	return &Feedstandin{clock: c, changed: make(chan struct{}), muted: make(map[string]bool), epochs: make(map[string]int), refused: make(map[string]bool)}
}

// SetMuted starts or ends a period in which calls of the callers receive no
// answer.
func (s *Feedstandin) SetMuted(mute bool, callers ...string) { s.set(s.muted, mute, callers) }

// SetRefused starts or ends a period in which new calls of the callers fail at once with
// ErrRefused, and those that are open are never answered.
func (s *Feedstandin) SetRefused(refuse bool, callers ...string) { s.set(s.refused, refuse, callers) }

func (s *Feedstandin) set(m map[string]bool, v bool, callers []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range callers {
		m[c] = v
		s.epochs[c]++
	}
}

// DropHistory forgets all changes so far: only a call from version zero or from the table's
// version can be answered.
func (s *Feedstandin) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest = s.version
}

// SetDelay delays each answer by d.
func (s *Feedstandin) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answerDelay = d
}

// Put writes a row and returns the table's new version.
func (s *Feedstandin) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.changes = append(s.changes, row.Row{Key: key, Value: value, Version: s.version})
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

// Feed answers a feed call. It returns the changes after a version and the table's
// version. If there are no changes yet, Feed waits for one, at most for the
// duration wait.
func (s *Feedstandin) Feed(ctx context.Context, caller string, after uint64, wait time.Duration) ([]row.Row, uint64, error) {
	s.mu.Lock()
	e, f, h := s.epochs[caller], s.refused[caller], after > 0 && after < s.oldest && !s.muted[caller]
	s.mu.Unlock()
	switch {
	case f:
		return nil, 0, ErrRefused
	case h:
		return nil, 0, ErrHistoryLost
	}
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
	d := s.answerDelay
	s.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-s.clock.After(d):
		return nil
	}
}

// since returns the changes after a version, the table's version, a channel
// that is closed at the next change, and whether the call can be answered. A call
// that started in epoch cannot be answered if its caller is muted or if SetMuted or
// SetRefused has been called for its caller since then.
func (s *Feedstandin) since(caller string, epoch int, after uint64) (l []row.Row, v uint64, c <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.changes {
		if r.Version > after {
			l = append(l, r)
		}
	}
	return l, s.version, s.changed, !s.muted[caller] && s.epochs[caller] == epoch
}
