// Package tried remembers which backend servers a request was sent to.
package tried

import "sync"

// Tried is shared by all tries of one request, so that a second try goes to
// another backend server than the first. A nil Tried is empty.
type Tried struct {
	mu    sync.Mutex
	names map[string]bool
}

// Add notes a backend server.
func (t *Tried) Add(name string) {
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

// Has reports whether the request was sent to a backend server.
func (t *Tried) Has(name string) bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.names[name]
}

// Names returns the backend servers, in no order.
func (t *Tried) Names() []string {
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
