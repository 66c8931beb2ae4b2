package host

import (
	"sort"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/member"
)

func (x *parts) account(name string) (account.Account, bool) {
	s := x.follower.Snapshot()
	if s == nil {
		return account.Account{}, false
	}
	return s.Account(name)
}

// fraction cuts every limit equally between the hosts that are alive.
func (x *parts) fraction(string) float64 {
	return 1 / float64(len(x.hosts()))
}

// targets returns the hosts of other failure domains, those with the most free
// slots first.
func (x *parts) targets(service string) []member.Member {
	var r []member.Member
	f := make(map[string]int)
	for _, m := range x.membership.Alive() {
		n := x.free(m.Name, service)
		if m.Domain == x.host.Settings.Domain || m.Leaving || n <= 0 {
			continue
		}
		f[m.Name] = n
		r = append(r, m)
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
