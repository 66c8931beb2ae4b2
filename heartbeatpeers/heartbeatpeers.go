// Package heartbeatpeers selects the hosts with which a host exchanges heartbeats.
package heartbeatpeers

import (
	"sort"

	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/rendezvous"
)

// perOtherRegion is the number of heartbeat peers in each other region. With two peers,
// updates from the region still arrive if one of them does not answer, and each host of
// the region is a heartbeat peer of some hosts of other regions.
const perOtherRegion = 2

// Select returns all hosts of the same region, because the hosts of a region must
// detect which of them are alive, and a few hosts of each other region, which send
// updates: versions and names of new hosts. The number of heartbeats then grows with
// the hosts of a region and not with the square of all hosts. In each other region,
// hosts that are alive are selected first. Each host prefers different hosts of another
// region, so that no host is a heartbeat peer of all others.
func Select(self member.Member, all []member.Member, alive func(name string) bool) []member.Member {
	var l []member.Member
	f := make(map[string][]member.Member)
	for _, m := range all {
		switch {
		case m.Name == self.Name:
		case m.Region == self.Region:
			l = append(l, m)
		default:
			f[m.Region] = append(f[m.Region], m)
		}
	}
	for _, r := range f {
		sort.Slice(r, func(i, j int) bool {
			a, b := alive(r[i].Name), alive(r[j].Name)
			if a != b {
				return a
			}
			return rendezvous.Uniform(self.Name, r[i].Name) > rendezvous.Uniform(self.Name, r[j].Name)
		})
		l = append(l, r[:min(len(r), perOtherRegion)]...)
	}
	return l
}
