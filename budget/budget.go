// Package budget bounds second tries by a fraction of first tries.
package budget

import "sync"

const (
	// start lets a quiet service find a silent connection at once.
	start = 5
	limit = 20
)

// Budget counts tries. Without it, an overloaded backend server would get
// every request twice at the moment when it can bear it least.
type Budget struct {
	// Ratio returns the greatest ratio of second tries to first tries.
	Ratio func() float64

	mu    sync.Mutex
	begun bool
	left  float64
}

// First counts a first try.
func (b *Budget) First() {
	r := b.Ratio()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open()
	b.left = min(b.left+r, limit)
}

// Second reports whether a second try is allowed, and counts it.
func (b *Budget) Second() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

func (b *Budget) open() {
	if !b.begun {
		b.begun = true
		b.left = start
	}
}
