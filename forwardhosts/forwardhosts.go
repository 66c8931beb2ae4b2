// Package forwardhosts knows which backend servers other hosts reach, from their
// heartbeats, and to which hosts requests for them can be forwarded.
package forwardhosts

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/homes"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/reachability"
	"celeryreach.example/celeryreach/wire"
)

// confirmTime is how long after this host lost a backend server the reports of others
// count: until then they may not have tried it.
const confirmTime = 700 * time.Millisecond

// Forwardhosts holds what other hosts report of their paths to backend servers.
type Forwardhosts struct {
	// Clock measures the age of reports.
	Clock clockwork.Clock
	// Region is the region of this host.
	Region string
	// Hosts returns the other hosts that are alive.
	Hosts func() []member.Member
	// Confirm is called with the hashes of backend servers that another host has lost.
	Confirm func(hashes []uint32)

	mu      sync.Mutex
	reports map[string]*report // by host
}

// report is what a host's last heartbeat reports.
type report struct {
	at          time.Time
	sends       bool // it takes forwarded requests
	known       bool // it knows backend servers and reports its paths
	unreachable map[uint32]bool
	lost, all   int // of its paths; unreachable may have fewer
}

// Merge records a heartbeat of another host.
func (f *Forwardhosts) Merge(h *wire.Heartbeat) {
	v := &report{
		at: f.Clock.Now(), sends: h.GetSendsForOthers(), known: h.GetUnreachableOf() > 0,
		lost: int(h.GetUnreachableCount()), all: int(h.GetUnreachableOf()),
	}
	if len(h.GetUnreachableBackends()) > 0 {
		v.unreachable = make(map[uint32]bool, len(h.GetUnreachableBackends()))
	}
	f.mu.Lock()
	o := f.reports[h.GetFrom().GetName()]
	var l []uint32
	for _, k := range h.GetUnreachableBackends() {
		v.unreachable[k] = true
		if o != nil && !o.unreachable[k] {
			l = append(l, k)
		}
	}
	if f.reports == nil {
		f.reports = make(map[string]*report)
	}
	f.reports[h.GetFrom().GetName()] = v
	f.mu.Unlock()
	f.Confirm(l)
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

// Reach reports whether another host that takes forwarded requests has confirmed that it
// reaches a backend server that this host lost at the given time.
func (f *Forwardhosts) Reach(b backend.Backend, lostAt time.Time) bool {
	k := reachability.Hash(b.Name)
	l := f.Hosts()
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(l, func(m member.Member) bool {
		v := f.reports[m.Name]
		return v.takes(m) && v.reaches(k) && v.at.Sub(lostAt) >= confirmTime
	})
}

// Targets returns the hosts in the given homes that take forwarded requests: first those
// that have lost the fewest backend servers, among them those of this host's region. Equal
// ones are in random order.
func (f *Forwardhosts) Targets(h homes.Homes) []member.Member {
	l := f.Hosts()
	f.mu.Lock()
	defer f.mu.Unlock()
	l = slices.DeleteFunc(l, func(m member.Member) bool {
		return !f.reports[m.Name].takes(m) || !h.Allows(m.Region)
	})
	rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	slices.SortStableFunc(l, func(a, b member.Member) int {
		if d := f.reports[a.Name].lost - f.reports[b.Name].lost; d != 0 {
			return d
		}
		return f.distance(a) - f.distance(b)
	})
	return l
}

func (f *Forwardhosts) distance(m member.Member) int {
	if m.Region == f.Region {
		return 0
	}
	return 1
}

// takes reports whether a host takes forwarded requests and reaches any backend server.
func (v *report) takes(m member.Member) bool {
	return v != nil && v.sends && v.lost < v.all && !m.Leaving && !m.Starting
}

// reaches reports whether the host reaches a backend server. Those that a host could not
// list count as out of its reach.
func (v *report) reaches(hash uint32) bool {
	return v.lost == len(v.unreachable) && !v.unreachable[hash]
}
