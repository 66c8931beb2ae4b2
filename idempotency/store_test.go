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
	"celeryreach.example/celeryreach/row"
	"celeryreach.example/celeryreach/store"
	"celeryreach.example/celeryreach/table"
)

var errStore = errors.New("the store does not answer")

// faultyStore is a table whose calls fail as told: "up", "out" (no effect), "lose"
// (commits take effect, their answers are lost) or "late" (commits fail, and
// take effect when arrive is called). Reads fail only when it is out.
type faultyStore struct {
	table table.Table

	mu      sync.Mutex
	mode    string
	late    []commit.Commit
	noReads bool
	blind   bool
}

func (s *faultyStore) set(mode string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
}

func (s *faultyStore) platform() store.Store {
	return store.Store{Read: s.read, Commit: s.commit}
}

func (s *faultyStore) read(_ context.Context, k string) (row.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode == "out" || s.noReads {
		return row.Row{}, errStore
	}
	return s.table.Read(k), nil
}

func (s *faultyStore) commit(_ context.Context, c commit.Commit) (bool, error) {
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
func (s *faultyStore) arrive() int {
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

func newHost(c clockwork.Clock, s *faultyStore, name string, incarnation uint64, alive func(string, uint64) bool) *idempotency.Idempotency {
	p := s.platform()
	return &idempotency.Idempotency{
		Clock: c, Platform: p, Host: name, Incarnation: incarnation, Alive: alive, Timeout: 100 * time.Millisecond,
		// No gap and no timeout of its own: its timers would be counted by advance.
		Group: &group.Group{Clock: c, Commit: p.Commit, Limit: 16},
	}
}

// advance moves the clock whenever the code under test waits for its pause
// between two rounds, and returns when done is closed. Two timers run then: that
// of the pause and that of the whole wait. Nothing depends on how fast the
// goroutines are.
func advance(c *clockwork.FakeClock, done <-chan struct{}) {
	x, f := context.WithCancel(context.Background())
	defer f()
	e := make(chan struct{})
	go func() {
		defer close(e)
		<-done
		f()
	}()
	for c.BlockUntilContext(x, 2) == nil {
		c.Advance(10 * time.Millisecond)
	}
	<-e
}
