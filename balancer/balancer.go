// Package balancer picks the backend server for a request among those of the
// host's own failure domain.
package balancer

import (
	"sync"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/result"
	"celeryreach.example/celeryreach/slot"
)

// Balancer counts the slots of one service's backend servers.
type Balancer struct {
	// Backends returns the backend servers in force.
	Backends func() []backend.Backend
	// Slots returns how many slots of a backend server this host may use now.
	Slots func(b backend.Backend) int
	// Released is called after a slot came free.
	Released func()

	mu   sync.Mutex
	busy map[string]int
}

// Acquire takes a slot of the backend server with the greatest free part.
func (b *Balancer) Acquire() (slot.Slot, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.busy == nil {
		b.busy = make(map[string]int)
	}
	var p backend.Backend
	m := 0.0
	for _, v := range b.Backends() {
		n := b.Slots(v)
		if v.Draining || n <= b.busy[v.Name] {
			continue
		}
		f := float64(n-b.busy[v.Name]) / float64(n)
		if f > m {
			p = v
			m = f
		}
	}
	if m == 0 {
		return slot.Slot{}, false
	}
	b.busy[p.Name]++
	return slot.Slot{Backend: p, Release: func(result.Result) { b.release(p.Name) }}, true
}

// Load returns the usable and the busy slots.
func (b *Balancer) Load() (slots, busy int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, v := range b.Backends() {
		slots += b.Slots(v)
		busy += b.busy[v.Name]
	}
	return slots, busy
}

func (b *Balancer) release(name string) {
	b.mu.Lock()
	b.busy[name]--
	b.mu.Unlock()
	b.Released()
}
