package host

import (
	"sort"
	"strings"
	"time"

	"celeryreach.example/celeryreach/author"
	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/lanes"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/probe"
	"celeryreach.example/celeryreach/slotloan"
	"celeryreach.example/celeryreach/wire"
)

const (
	probeEvery   = 2 * time.Second
	probeTimeout = time.Second
)

// newDomain makes the parts that look after the backend servers of the host's
// failure domain.
func (x *parts) newDomain() {
	h := x.host
	x.slotloan = &slotloan.Slotloan{
		Clock: h.Clock, Host: h.Settings.Name, Longest: h.Settings.Hold * 9 / 10,
		Siblings: x.slotLenders, Ask: x.peerclient.Borrow,
	}
	x.lanes = &lanes.Lanes{
		Clock: h.Clock, Domain: h.Settings.Domain, Snapshot: x.follower.Snapshot,
		Slots: x.slots, Borrowed: x.slotloan.Acquire,
		Drained: func(name, sign string, d time.Duration) {
			h.Log.Info("backend server drained", "Backend", name, "Sign", sign, "Took", d)
		},
	}
	x.slotloan.Adopt = x.lanes.Adopt
	x.slotloan.Kick = x.lanes.Kick
	x.slotloan.Lend = x.lanes.Lend
	x.probe = &probe.Probe{
		Clock: h.Clock, Interval: probeEvery, Timeout: probeTimeout, Backends: x.lanes.Suspects, Report: x.lanes.Probed,
	}
}

// borrow answers a request for a loan.
func (x *parts) borrow(b *wire.BorrowRequest) *wire.BorrowResponse {
	if strings.HasPrefix(b.Limit, slotloan.Prefix) {
		return x.slotloan.Receive(b)
	}
	return x.lend(b)
}

// slotLenders returns the hosts of the own failure domain that report more than
// one free slot of a service, those with the most first.
func (x *parts) slotLenders(service string) []member.Member {
	return x.ranked(service, func(m member.Member, free int) bool {
		return m.Domain == x.host.Settings.Domain && free > 1
	})
}

// targets returns the hosts of other failure domains, those with the most free
// slots first.
func (x *parts) targets(service string) []member.Member {
	return x.ranked(service, func(m member.Member, free int) bool {
		return m.Domain != x.host.Settings.Domain && !m.Leaving && free > 0
	})
}

// ranked returns the peers that are wanted by their reported free slots.
func (x *parts) ranked(service string, wanted func(m member.Member, free int) bool) []member.Member {
	var r []member.Member
	f := make(map[string]int)
	for _, m := range x.membership.Alive() {
		if n := x.free(m.Name, service); wanted(m, n) {
			f[m.Name] = n
			r = append(r, m)
		}
	}
	sort.SliceStable(r, func(i, j int) bool { return f[r[i].Name] > f[r[j].Name] })
	return r
}

func (x *parts) free(host, service string) int {
	h, ok := x.membership.Last(host)
	if !ok {
		return 0
	}
	for _, l := range h.Loads {
		if l.Service == service {
			return int(l.Slots) - int(l.Busy) - int(l.Waiting)
		}
	}
	return 0
}

// slots returns how many slots of a backend server this host may use now.
func (x *parts) slots(b backend.Backend) int {
	return len(x.limits.holding.Slots(author.SlotsPrefix+b.Domain, b.Slots))
}

// siblings returns the names of the hosts of the own failure domain that are
// alive, this one included, and this one's place among them by name.
func (x *parts) siblings() (names []string, self int) {
	for _, m := range x.membership.Alive() {
		if m.Domain == x.host.Settings.Domain {
			if m.Name < x.host.Settings.Name {
				self++
			}
			names = append(names, m.Name)
		}
	}
	return append(names, x.host.Settings.Name), self
}
