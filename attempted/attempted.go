// Package attempted records which backend servers a request was sent to.
package attempted

import "sync"

// Attempted is shared by all attempts of one request, so that a second attempt goes to
// a backend server other than the first. A nil Attempted is empty.
type Attempted struct {
	mu    sync.Mutex
	names map[string]bool
}

// Add records a backend server.
func (t *Attempted) Add(name string) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.names == nil {
		t.names = make(map[string]bool)
	}
	t.names[name] = true
}

// Has reports whether the request was sent to the backend server.
func (t *Attempted) Has(name string) bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.names[name]
}

// Names returns the names of the backend servers in no particular order.
func (t *Attempted) Names() []string {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := make([]string, 0, len(t.names))
	for n := range t.names {
		r = append(r, n)
	}
	return r
}
