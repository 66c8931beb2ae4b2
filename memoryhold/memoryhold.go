// Package memoryhold counts the memory that one client has taken from a budget.
package memoryhold

import (
	"sync"

	"celeryreach.example/celeryreach/memorybudget"
)

// Memoryhold is memory that is given back at once.
type Memoryhold struct {
	// Budget is where the memory comes from; nil has no limit.
	Budget *memorybudget.Memorybudget

	mu   sync.Mutex
	held int64
}

// Take takes n more bytes from the budget, and reports whether they were available.
func (h *Memoryhold) Take(n int64) bool {
	if h == nil || h.Budget == nil || n == 0 {
		return true
	}
	if !h.Budget.Take(n) {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held += n
	return true
}

// Release gives all back.
func (h *Memoryhold) Release() {
	if h == nil || h.Budget == nil {
		return
	}
	h.mu.Lock()
	n := h.held
	h.held = 0
	h.mu.Unlock()
	if n > 0 {
		h.Budget.GiveBack(n)
	}
}
