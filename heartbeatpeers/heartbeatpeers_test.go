package heartbeatpeers_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"celeryreach.example/celeryreach/heartbeatpeers"
	"celeryreach.example/celeryreach/member"
)

func hosts(regions, each int) []member.Member {
	var l []member.Member
	for r := range regions {
		for i := range each {
			l = append(l, member.Member{Name: fmt.Sprintf("host-%d-%d", r, i), Region: fmt.Sprint("region-", r)})
		}
	}
	return l
}

// When a host joins in one region, the hosts of the other regions must reduce their
// shares of the limits within two heartbeats. Each of these hosts therefore needs a
// heartbeat peer that has received a heartbeat of the new host directly, even while
// one of its heartbeat peers does not answer.
func TestHeartbeatPeerInEachRegion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "regions")
		l := hosts(n, rapid.IntRange(1, 12).Draw(t, "hosts"))
		dead := rapid.SampledFrom(l).Draw(t, "dead").Name
		for _, h := range l {
			seen := make(map[string]int)
			for _, p := range heartbeatpeers.Select(h, l, func(n string) bool { return n != dead }) {
				must.NotEqOp(t, h.Name, p.Name)
				if p.Name != dead {
					seen[p.Region]++
				}
			}
			for _, o := range l {
				if o.Name != h.Name && o.Name != dead {
					must.Positive(t, seen[o.Region])
				}
			}
		}
	})
}

// With 84 hosts in three regions, a host has 31 heartbeat peers and not 83.
func TestFewHeartbeatPeers(t *testing.T) {
	l := hosts(3, 28)
	most := make(map[string]int)
	for _, h := range l {
		p := heartbeatpeers.Select(h, l, func(string) bool { return true })
		must.Len(t, 27+2*2, p)
		for _, m := range p {
			most[m.Name]++
		}
	}
	for n, c := range most {
		must.LessEq(t, 27+20, c, must.Sprint(n))
	}
}
