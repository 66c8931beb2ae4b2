// Package memorybudget bounds the memory that clients occupy with what they send and don't read.
package memorybudget

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/stalled"
)

const (
	// minStall is how long a client has made no progress before its memory is taken back for
	// others.
	minStall = 500 * time.Millisecond
	// freeTimeout is how long Take waits for memory that is being taken back.
	freeTimeout = 100 * time.Millisecond
)

// Memorybudget is the memory for all clients together. While it is used up, clients that make
// no progress lose theirs to others.
type Memorybudget struct {
	// Clock measures waits.
	Clock clockwork.Clock
	// Limit is the size of the budget in bytes; zero means that it has no limit.
	Limit int64
	// Stalled holds the waits for clients that occupy memory; nil means none.
	Stalled *stalled.Stalled

	mu    sync.Mutex
	used  int64
	freed chan struct{} // closed when memory is given back; nil if nothing waits
}

// Take takes n bytes and reports whether they were available, or soon became so.
func (m *Memorybudget) Take(n int64) bool {
	c, ok := m.tryTake(n)
	if ok {
		return true
	}
	var t <-chan time.Time
	for m.Stalled.EndOldest(minStall) {
		if t == nil {
			t = m.Clock.After(freeTimeout)
		}
		select {
		case <-c:
		case <-t:
			_, ok = m.tryTake(n)
			return ok
		}
		if c, ok = m.tryTake(n); ok {
			return true
		}
	}
	return false
}

// tryTake takes n bytes if they are available. Otherwise freed is closed when some are given
// back.
func (m *Memorybudget) tryTake(n int64) (freed <-chan struct{}, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.Limit == 0 || m.used+n <= m.Limit {
		m.used += n
		return nil, true
	}
	if m.freed == nil {
		m.freed = make(chan struct{})
	}
	return m.freed, false
}

// GiveBack gives back n bytes.
func (m *Memorybudget) GiveBack(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= n
	if m.freed != nil && n > 0 {
		close(m.freed)
		m.freed = nil
	}
}

// Used returns how many bytes are taken.
func (m *Memorybudget) Used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}
