package idempotency_test

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/commit"
	"celeryreach.example/celeryreach/group"
	"celeryreach.example/celeryreach/idempotency"
	"celeryreach.example/celeryreach/platform"
	"celeryreach.example/celeryreach/row"
	"celeryreach.example/celeryreach/table"
)

var errStore = errors.New("the store does not answer")

// store is a table whose calls fail as told: "up", "out" (no effect), "lose"
// (commits take effect, their answers are lost) or "late" (commits fail, and
// take effect when arrive is called). Reads fail only when it is out.
type store struct {
	table table.Table

	mu      sync.Mutex
	mode    string
	late    []commit.Commit
	noReads bool
	blind   bool
}

func (s *store) set(mode string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
}

func (s *store) platform() platform.Platform {
	return platform.Platform{Read: s.read, Commit: s.commit}
}

func (s *store) read(_ context.Context, k string) (row.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode == "out" || s.noReads {
		return row.Row{}, errStore
	}
	return s.table.Read(k), nil
}

func (s *store) commit(_ context.Context, c commit.Commit) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.blind {
		c.Expect = nil
	}
	switch s.mode {
	case "out":
		return false, errStore
	case "lose":
		s.table.Commit(c)
		return false, errStore
	case "late":
		s.late = append(s.late, c)
		return false, errStore
	default:
		return s.table.Commit(c), nil
	}
}

// arrive lets the late commits take effect and returns how many did.
func (s *store) arrive() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, c := range s.late {
		if s.table.Commit(c) {
			n++
		}
	}
	s.late = nil
	return n
}

func newHost(c clockwork.Clock, s *store, name string, incarnation uint64, alive func(string, uint64) bool) *idempotency.Idempotency {
	p := s.platform()
	return &idempotency.Idempotency{
		Clock: c, Platform: p, Host: name, Incarnation: incarnation, Alive: alive, Timeout: 100 * time.Millisecond,
		Group: &group.Group{Clock: c, Commit: p.Commit, Gap: time.Millisecond, Limit: 16, Timeout: 50 * time.Millisecond},
	}
}

// advance moves the clock until done is closed: whatever waits for time in
// between goes on, in the order of its timers.
func advance(c *clockwork.FakeClock, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(50 * time.Microsecond): //nolint:forbidigo // lets the goroutines under test reach their timers
			c.Advance(10 * time.Millisecond)
		}
	}
}
