// Package reachability tracks to which backend servers this host can open connections.
// A backend server that only this host can't reach is not at fault.
package reachability

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/backend"
)

const (
	// maxReported limits the backend servers that a heartbeat lists.
	maxReported = 128
	// openConnectionLife is how long after a response the connections that are open to a
	// backend server count as working while no new ones can be opened.
	openConnectionLife = time.Second
)

// Reachability holds the state of this host's paths to backend servers.
type Reachability struct {
	// Clock measures how long a backend server is out of reach.
	Clock clockwork.Clock
	// Log receives one line for each backend server that gets out of reach and for each
	// that is reached again.
	Log *log.Logger
	// Probe opens a connection to an address and closes it. The result is passed to
	// ObserveDial by Probe itself.
	Probe func(ctx context.Context, address string)
	// CountHosts returns how many other hosts reach a backend server and how many don't.
	CountHosts func(b backend.Backend) (reached, lost int)
	// OnReached is called when a backend server is reached again; lostAt is since when it
	// was out of reach.
	OnReached func(b backend.Backend, lostAt time.Time)
	// Notify is called when other hosts should be told at once what this host can't reach.
	Notify func()

	mu       sync.Mutex
	paths    map[string]*path // by address
	lost     int              // the number of paths that are lost
	lastLoss time.Time        // when a loss was last confirmed
	heardAt  time.Time        // the last response or opened connection, from any backend server
	anyLost  atomic.Bool      // whether lost is above zero, so that most calls need no lock
	notifyAt time.Time        // when Notify is due; zero if it is not
	wake     chan struct{}
}

// path is the state of the path to one address.
type path struct {
	backend backend.Backend
	lostAt  time.Time // when a connection could not be opened; zero if the last one could
	heardAt time.Time // the last response or opened connection
	// lastLostAt is when it was last lost, also after it was restored.
	lastLostAt time.Time
	// confirmed is set once two dials in a row have failed, or one just after another path
	// was lost. Other hosts are told of no other losses: a single dial fails on a host that is
	// busy, or by a lost packet.
	confirmed bool
	probeAt   time.Time // when a probe is due; zero if none is
	probed    time.Time // the start of the last probe
	probing   bool
}

// New returns a Reachability without backend servers.
func New() *Reachability {
	return &Reachability{wake: make(chan struct{}, 1)}
}

// Hash returns the number by which hosts name a backend server to each other.
func Hash(name string) uint32 {
	return uint32(xxhash.Sum64String(name)) //nolint:gosec // the lower half
}

// Set replaces the list of backend servers.
func (r *Reachability) Set(l []backend.Backend) {
	n := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.paths
	r.paths = make(map[string]*path, len(l))
	r.lost = 0
	defer r.updateAnyLost()
	for _, b := range l {
		p := o[b.Address]
		switch {
		case p == nil:
			p = &path{heardAt: n}
		case !p.lostAt.IsZero() && (p.backend.Name != b.Name || p.backend.Started != b.Started):
			p.probeAt = n // another process has registered the address
		}
		p.backend = b
		r.paths[b.Address] = p
		if !p.lostAt.IsZero() {
			r.lost++
		}
	}
	r.wakeUp()
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
	b, t, k := p.backend, p.lostAt, p.confirmed
	if err == nil {
		r.restore(p, n)
	} else {
		r.lose(p, n)
	}
	m := p.confirmed
	c, u := r.lost, len(r.paths)
	r.mu.Unlock()
	switch {
	case err == nil && !t.IsZero():
		if k {
			r.Log.Info("backend server reached again", "Backend", b.Name, "Service", b.Service, "Region", b.Region, "After", n.Sub(t), "Lost", c, "Of", u)
		}
		r.OnReached(b, t)
	case err != nil && m && !k:
		y, x := r.CountHosts(b)
		r.Log.Warn("backend server out of reach", "Backend", b.Name, "Service", b.Service, "Region", b.Region,
			"Error", err, "Lost", c, "Of", u, "HostsReaching", y, "HostsNotReaching", x)
	}
}

// ObserveResponse records a response from an address.
func (r *Reachability) ObserveResponse(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.paths[address]; p != nil {
		r.hear(p, r.Clock.Now())
	}
}

func (r *Reachability) hear(p *path, now time.Time) {
	p.heardAt, r.heardAt = now, now
}

// MayDial reports whether a new connection to an address may be tried for a request. If
// the last one could not be opened, only probes try.
func (r *Reachability) MayDial(address string) bool {
	if !r.anyLost.Load() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.paths[address]
	return p == nil || p.lostAt.IsZero()
}

// IsLost reports whether the last connection to a backend server could not be opened.
func (r *Reachability) IsLost(b backend.Backend) bool {
	return !r.MayDial(b.Address)
}

// Reaches reports whether b may be sent requests: new connections to it can be opened, or
// open ones still deliver responses.
func (r *Reachability) Reaches(b backend.Backend) bool {
	if !r.anyLost.Load() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.paths[b.Address]
	return p == nil || p.lostAt.IsZero() || p.heardAt.After(p.lostAt) && r.Clock.Since(p.heardAt) < openConnectionLife
}

// IsHeardSince reports whether a connection to b was opened or a response came from it after t,
// and it was not out of reach since then: after that, another process may have its address.
func (r *Reachability) IsHeardSince(b backend.Backend, t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.paths[b.Address]
	return p != nil && p.lostAt.IsZero() && p.heardAt.After(t) && !p.lastLostAt.After(t)
}

// LostAt returns since when no connection to b can be opened, zero if one can.
func (r *Reachability) LostAt(b backend.Backend) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.paths[b.Address]; p != nil {
		return p.lostAt
	}
	return time.Time{}
}

// SilentSince returns since when no connection to b can be opened and nothing comes on those
// that are open, zero if that is not so, and whether anything came from other backend servers
// since.
func (r *Reachability) SilentSince(b backend.Backend) (at time.Time, othersHeard bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.paths[b.Address]
	if p == nil || p.heardAt.After(p.lostAt) {
		return time.Time{}, false
	}
	return p.lostAt, r.heardAt.After(p.lostAt)
}

// RetryAfter returns the time until the next probe of b has a result, zero if b is not out
// of reach.
func (r *Reachability) RetryAfter(b backend.Backend) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.paths[b.Address]
	if p == nil || p.lostAt.IsZero() {
		return 0
	}
	return max(p.probeAt.Sub(r.Clock.Now()), 0) + firstProbeDelay
}

// Lost returns the hashes of backend servers that are confirmed out of reach, at most maxReported,
// how many there are, and the number of all backend servers.
func (r *Reachability) Lost() (hashes []uint32, lost, all int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lost == 0 {
		return nil, 0, len(r.paths)
	}
	for _, p := range r.paths {
		if !p.confirmed {
			continue
		}
		if lost++; len(hashes) < maxReported {
			hashes = append(hashes, Hash(p.backend.Name))
		}
	}
	return hashes, lost, len(r.paths)
}

func (r *Reachability) updateAnyLost() {
	r.anyLost.Store(r.lost > 0)
}
