// Package reachability tracks to which backend servers this host can open connections.
// A backend server that only this host can't reach is not at fault.
package reachability

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/backend"
)

// maxReported limits the backend servers that a heartbeat lists.
const maxReported = 128

// Reachability holds the state of this host's paths to backend servers.
type Reachability struct {
	// Clock measures how long a backend server is out of reach.
	Clock clockwork.Clock
	// Log receives one line for each backend server that gets out of reach and for each
	// that is reached again.
	Log *log.Logger
	// CountHosts returns how many other hosts reach a backend server and how many don't.
	CountHosts func(b backend.Backend) (reached, lost int)
	// OnChange is called when a backend server gets out of reach or is reached again.
	OnChange func(b backend.Backend, reached bool)

	mu    sync.Mutex
	paths map[string]*path // by address
}

// path is the state of the path to one address.
type path struct {
	backend backend.Backend
	lostAt  time.Time // when a connection could not be opened; zero if the last one could
	heardAt time.Time // the last response or opened connection
}

// Hash returns the number by which hosts name a backend server to each other.
func Hash(name string) uint32 {
	return uint32(xxhash.Sum64String(name)) //nolint:gosec // the lower half
}

// Set replaces the list of backend servers.
func (r *Reachability) Set(l []backend.Backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.paths
	r.paths = make(map[string]*path, len(l))
	for _, b := range l {
		p := o[b.Address]
		if p == nil {
			p = new(path)
		}
		p.backend = b
		r.paths[b.Address] = p
	}
}

// ObserveDial records that a connection to an address was opened or, if err is not nil,
// could not be opened.
func (r *Reachability) ObserveDial(address string, err error) {
	n := r.Clock.Now()
	r.mu.Lock()
	p := r.paths[address]
	if p == nil {
		r.mu.Unlock()
		return
	}
	b, t := p.backend, p.lostAt
	if err == nil {
		p.lostAt, p.heardAt = time.Time{}, n
	} else if t.IsZero() {
		p.lostAt = n
	}
	c, k := r.countLost(), len(r.paths)
	r.mu.Unlock()
	if t.IsZero() == (err == nil) {
		return // no change
	}
	reached, lost := r.CountHosts(b)
	if err == nil {
		r.Log.Info("backend server reached again", "Backend", b.Name, "Service", b.Service, "Region", b.Region, "After", n.Sub(t), "Lost", c, "Of", k)
	} else {
		r.Log.Warn("backend server out of reach", "Backend", b.Name, "Service", b.Service, "Region", b.Region,
			"Error", err, "Lost", c, "Of", k, "HostsReaching", reached, "HostsNotReaching", lost)
	}
	r.OnChange(b, err == nil)
}

// ObserveResponse records a response from an address.
func (r *Reachability) ObserveResponse(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.paths[address]; p != nil {
		p.heardAt = r.Clock.Now()
	}
}

// Lost returns the hashes of backend servers that are out of reach, at most maxReported,
// how many there are, and the number of all backend servers.
func (r *Reachability) Lost() (hashes []uint32, lost, all int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.paths {
		if !p.lostAt.IsZero() && len(hashes) < maxReported {
			hashes = append(hashes, Hash(p.backend.Name))
		}
	}
	return hashes, r.countLost(), len(r.paths)
}

func (r *Reachability) countLost() int {
	n := 0
	for _, p := range r.paths {
		if !p.lostAt.IsZero() {
			n++
		}
	}
	return n
}
