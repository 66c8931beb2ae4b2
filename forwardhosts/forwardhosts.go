// Package forwardhosts knows which backend servers other hosts reach, from their
// heartbeats.
package forwardhosts

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/reachability"
	"celeryreach.example/celeryreach/wire"
)

// Forwardhosts holds what other hosts report of their paths to backend servers.
type Forwardhosts struct {
	// Clock measures the age of reports.
	Clock clockwork.Clock
	// Hosts returns the other hosts that are alive.
	Hosts func() []member.Member

	mu      sync.Mutex
	reports map[string]*report
}

// report is what a host's last heartbeat reports.
type report struct {
	at          time.Time
	sends       bool // it takes forwarded requests
	known       bool // it knows backend servers and reports its paths
	unreachable map[uint32]bool
	complete    bool // unreachable lists all that the host can't reach
}

// Merge records a heartbeat of another host.
func (f *Forwardhosts) Merge(h *wire.Heartbeat) {
	v := &report{
		at: f.Clock.Now(), sends: h.GetSendsForOthers(), known: h.GetUnreachableOf() > 0,
		complete: int(h.GetUnreachableCount()) == len(h.GetUnreachableBackends()),
	}
	if len(h.GetUnreachableBackends()) > 0 {
		v.unreachable = make(map[uint32]bool)
	}
	for _, k := range h.GetUnreachableBackends() {
		v.unreachable[k] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reports == nil {
		f.reports = make(map[string]*report)
	}
	f.reports[h.GetFrom().GetName()] = v
}

// Count returns how many of the other hosts reach a backend server, as far as they know,
// and how many don't.
func (f *Forwardhosts) Count(b backend.Backend) (reached, lost int) {
	k := reachability.Hash(b.Name)
	l := f.Hosts()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range l {
		switch v := f.reports[m.Name]; {
		case v == nil || !v.known:
		case v.reaches(k):
			reached++
		default:
			lost++
		}
	}
	return reached, lost
}

// reaches reports whether the host reaches a backend server. Those that a host could not
// list count as out of its reach.
func (v *report) reaches(hash uint32) bool {
	return v.complete && !v.unreachable[hash]
}
