// Package budget bounds second tries by a fraction of first tries.
package budget

import "sync"

const (
	// defaultStart lets a quiet service find a silent connection at once.
	defaultStart = 5
	defaultLimit = 20
)

// Budget counts the tries of each service. Without it, an overloaded backend
// server would get every request twice at the moment when it can bear it least.
type Budget struct {
	// Ratio returns the greatest ratio of second tries to first tries.
	Ratio func() float64
	// Limit returns how many second tries may follow at once; nil means 20.
	Limit func() float64

	mu   sync.Mutex
	left map[string]float64
}

// First counts a first try.
func (b *Budget) First(service string) {
	r := b.Ratio()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left[service] = min(b.open(service)+r, b.limit())
}

// Second reports whether a second try is allowed, and counts it.
func (b *Budget) Second(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := min(b.open(service), b.limit())
	if v < 1 {
		return false
	}
	b.left[service] = v - 1
	return true
}

func (b *Budget) open(service string) float64 {
	if b.left == nil {
		b.left = make(map[string]float64)
	}
	if v, ok := b.left[service]; ok {
		return v
	}
	return min(defaultStart, b.limit())
}

func (b *Budget) limit() float64 {
	if b.Limit == nil {
		return defaultLimit
	}
	return b.Limit()
}
