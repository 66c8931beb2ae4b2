package idempotency_test

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/commit"
	"celeryreach.example/celeryreach/commitbatch"
	"celeryreach.example/celeryreach/idempotency"
	"celeryreach.example/celeryreach/memorytable"
	"celeryreach.example/celeryreach/row"
	"celeryreach.example/celeryreach/store"
)

var errStore = errors.New("the store does not answer")

// faultyStore is a table with faults by mode: "up" (no fault), "out" (calls
// fail without effect), "lose" (commits take effect, their answers are lost) or
// "late" (commits fail, and take effect when applyDelayed is called). Reads
// fail only in mode "out" or with failReads.
type faultyStore struct {
	table memorytable.Memorytable

	mu           sync.Mutex
	mode         string
	delayed      []commit.Commit
	failReads    bool
	ignoreExpect bool
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
	if s.mode == "out" || s.failReads {
		return row.Row{}, errStore
	}
	return s.table.Read(k), nil
}

func (s *faultyStore) commit(_ context.Context, c commit.Commit) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ignoreExpect {
		c.Expect = nil
	}
	switch s.mode {
	case "out":
		return false, errStore
	case "lose":
		s.table.Commit(c)
		return false, errStore
	case "late":
		s.delayed = append(s.delayed, c)
		return false, errStore
	default:
		return s.table.Commit(c), nil
	}
}

// applyDelayed applies the delayed commits and returns how many took effect.
func (s *faultyStore) applyDelayed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, c := range s.delayed {
		if s.table.Commit(c) {
			n++
		}
	}
	s.delayed = nil
	return n
}

func newHost(c clockwork.Clock, s *faultyStore, name string, incarnation uint64, alive func(string, uint64) bool) *idempotency.Idempotency {
	p := s.platform()
	return &idempotency.Idempotency{
		Clock: c, Store: p, Host: name, Incarnation: incarnation, IsAlive: alive, Timeout: 100 * time.Millisecond,
		// Without MinInterval and Timeout, because advance would count their timers.
		CommitBatch: &commitbatch.Commitbatch{Clock: c, Commit: p.Commit, MaxRows: 16},
	}
}

// advance moves the clock whenever the code under test waits for its pause
// between two attempts, and returns when done is closed. During a pause two
// timers run: one for the pause and one for the whole wait. The result does not
// depend on the speed of the goroutines.
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
