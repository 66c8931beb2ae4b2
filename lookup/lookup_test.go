package lookup_test

import (
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/golden"
	"celeryreach.example/celeryreach/lookup"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/plan"
	"celeryreach.example/celeryreach/roster"
	"celeryreach.example/celeryreach/route"
	"celeryreach.example/celeryreach/snapshot"
)

// hostState is the data of a host that a look-up reads.
type hostState struct {
	// Config is the configuration.
	Config config.Config
	// Plan is the plan.
	Plan *plan.Plan
	// Hosts are the hosts that are alive.
	Hosts []member.Member
	// Gone are known hosts that are no longer alive.
	Gone []member.Member `json:",omitzero"`
	// Moved are the points moved out of lost regions.
	Moved map[string]int `json:",omitzero"`
}

func (w *hostState) lookup() *lookup.Lookup {
	s := snapshot.New(&w.Config, "")
	o := roster.New(w.Hosts, s.Slots)
	return &lookup.Lookup{
		Snapshot: func() *snapshot.Snapshot { return s }, Plan: func() *plan.Plan { return w.Plan },
		Hosts: func() *roster.Roster { return o },
		Block: s.Block, DefaultRegion: "lagos", OnLookup: func(string, string) {}, Random: func() float64 { return 0.5 },
		IsRegionLost: func(r string) bool {
			for _, m := range w.Hosts {
				if m.Region == r {
					return false
				}
			}
			return true
		},
		MovedPoints: func(_, r string) int { return w.Moved[r] },
		LastKnownHosts: func(r string) []member.Member {
			var l []member.Member
			for _, m := range w.Gone {
				if m.Region == r {
					l = append(l, m)
				}
			}
			return l
		},
	}
}

// Each file holds the data of a host, look-ups, and their answers.
func TestLookupAnswers(t *testing.T) {
	golden.Run(t, func(t *testing.T, p [][]byte) string {
		var w hostState
		must.NoError(t, codec.Unmarshal(p[0], &w))
		l := w.lookup()
		var b strings.Builder
		for q := range strings.Lines(string(p[1])) {
			q = strings.TrimSpace(q)
			r := httptest.NewRecorder()
			l.ServeHTTP(r, httptest.NewRequest("GET", "/lookup?"+q, nil))
			fmt.Fprintf(&b, "%s\n  %d %s\n", q, r.Code, r.Body)
		}
		return b.String()
	})
}

// A shift of 5% moves 5% of the region's client blocks and no others. Shifting
// back restores the region of the same blocks.
func TestShiftMovesOnlyItsBlocks(t *testing.T) {
	w := newHostState(9, 4)
	l := w.lookup()
	o := make(map[int]string)
	const n = 100_000
	for i := range n {
		o[i] = regionOf(t, l, i)
	}
	r := route.New("Listings", "lagos").Shift("lagos", "region-2", 50_000)
	w.Plan = w.Plan.WithRoute(r)
	m := 0
	for i := range n {
		if k := regionOf(t, l, i); k != o[i] {
			must.EqOp(t, "region-2", k)
			m++
		}
	}
	must.Between(t, n*45/1000, m, n*55/1000)
	w.Plan = w.Plan.WithRoute(r.Shift("region-2", "lagos", 50_000))
	for i := range n {
		must.EqOp(t, o[i], regionOf(t, l, i))
	}
}

func regionOf(t *testing.T, l *lookup.Lookup, i int) string {
	a, o := l.Find("unity", "Listings", "", netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}))
	must.EqOp(t, "", o.Outcome)
	return a.Region
}

func newHostState(regions, hosts int) *hostState {
	w := &hostState{Plan: &plan.Plan{}}
	for i := range regions {
		n := fmt.Sprintf("region-%d", i)
		if i == 0 {
			n = "lagos"
		}
		for j := range hosts {
			h := fmt.Sprintf("%s-host-%d", n, j)
			w.Hosts = append(w.Hosts, member.Member{Name: h, Region: n, Domain: fmt.Sprintf("%s-%d", n, j%3), CallerAddress: h})
		}
	}
	return w
}

// BenchmarkFind measures look-ups at the size expected in two years: 2.2
// million client blocks, and 878 hosts in a region.
func BenchmarkFind(b *testing.B) {
	w := newHostState(9, 878)
	l := w.lookup()
	l.Random = func() float64 { return 1 - rand.Float64() }
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l.Find("unity", "Listings", "", netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}))
	}
}
