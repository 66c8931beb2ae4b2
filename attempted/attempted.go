// Package attempted records which backend servers a request was sent to.
package attempted

import (
	"slices"
	"sync"
)

// Attempted is shared by all attempts of one request, so that a second attempt goes to
// a backend server other than the first. A nil Attempted is empty.
type Attempted struct {
	mu       sync.Mutex
	names    map[string]bool
	unsent   map[string]bool // of names: no connection could be opened
	received []string        // may have received the request, one entry for each attempt
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

// AddUnsent records that no connection to a backend server could be opened, so that
// nothing was sent.
func (t *Attempted) AddUnsent(name string) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unsent == nil {
		t.unsent = make(map[string]bool)
	}
	t.unsent[name] = true
}

// AddReceived records an attempt by which a backend server may have received the request.
func (t *Attempted) AddReceived(name string) {
	if t == nil {
		return
	}
	t.Add(name)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.received = append(t.received, name)
}

// Received returns the backend servers that AddReceived recorded, one entry for each attempt.
func (t *Attempted) Received() []string {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.received)
}

// Remove forgets a backend server that was chosen and not sent the request after all.
func (t *Attempted) Remove(name string) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !slices.Contains(t.received, name) {
		delete(t.names, name)
	}
}

// IsUnsent reports whether no connection to the backend server could be opened. One that
// another host has sent the request to is not unsent.
func (t *Attempted) IsUnsent(name string) bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unsent[name] && !slices.Contains(t.received, name)
}

// SentNames returns the names of the backend servers that may have received the request,
// in no particular order.
func (t *Attempted) SentNames() []string {
	return slices.DeleteFunc(t.Names(), t.IsUnsent)
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
