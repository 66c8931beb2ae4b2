// Package partners chooses with which other hosts a host exchanges heartbeats.
package partners

import (
	"sort"

	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/rendezvous"
)

// perRegion is how many hosts of each other region a host talks to. With two, one
// may fall silent and the next heartbeat still brings news of the region; and each
// host of the region is the partner of some.
const perRegion = 2

// Partners returns all hosts of the own region, who must know of each other which
// are alive, and a few of each other region, who bring news: versions, and names
// of new hosts. Heartbeats then grow with the hosts of a region and not with the
// square of all hosts. Those that were heard lately go first; each host prefers
// others, so that no host is everybody's partner.
func Partners(self member.Member, all []member.Member, alive func(name string) bool) []member.Member {
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
		l = append(l, r[:min(len(r), perRegion)]...)
	}
	return l
}
