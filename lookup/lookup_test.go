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

// world is what a look-up reads.
type world struct {
	// Config is the configuration.
	Config config.Config
	// Plan is the plan.
	Plan *plan.Plan
	// Hosts are alive.
	Hosts []member.Member
	// Gone were heard once.
	Gone []member.Member `json:",omitzero"`
	// Moved are the points of lost regions.
	Moved map[string]int `json:",omitzero"`
}

func (w *world) lookup() *lookup.Lookup {
	s := snapshot.New(&w.Config, "")
	o := roster.New(w.Hosts, s.Slots)
	return &lookup.Lookup{
		Snapshot: func() *snapshot.Snapshot { return s }, Plan: func() *plan.Plan { return w.Plan },
		Hosts: func() *roster.Roster { return o },
		Block: s.Block, Home: "lagos", Asked: func(string, string) {}, Random: func() float64 { return 0.5 },
		Lost: func(r string) bool {
			for _, m := range w.Hosts {
				if m.Region == r {
					return false
				}
			}
			return true
		},
		Moved: func(_, r string) int { return w.Moved[r] },
		Last: func(r string) []member.Member {
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

// Each file holds what a host knows, look-ups, and their answers.
func TestSessions(t *testing.T) {
	golden.Play(t, func(t *testing.T, p [][]byte) string {
		var w world
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

// A shift of 5% moves 5% of the client blocks of the region, and none of the
// others change theirs; moved back, the same blocks come home.
func TestShiftMovesOnlyItsBlocks(t *testing.T) {
	w := fleet(9, 4)
	l := w.lookup()
	o := make(map[int]string)
	const n = 100_000
	for i := range n {
		o[i] = region(t, l, i)
	}
	r := route.New("Listings", "lagos").Shift("lagos", "region-2", 50_000)
	w.Plan = w.Plan.With(r)
	m := 0
	for i := range n {
		if k := region(t, l, i); k != o[i] {
			must.EqOp(t, "region-2", k)
			m++
		}
	}
	must.Between(t, n*45/1000, m, n*55/1000)
	w.Plan = w.Plan.With(r.Shift("region-2", "lagos", 50_000))
	for i := range n {
		must.EqOp(t, o[i], region(t, l, i))
	}
}

func region(t *testing.T, l *lookup.Lookup, i int) string {
	a, o := l.Find("unity", "Listings", "", netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}))
	must.EqOp(t, "", o.Outcome)
	return a.Region
}

func fleet(regions, hosts int) *world {
	w := &world{Plan: &plan.Plan{}}
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

// The look-ups a second a core at the size of two years: 2.2 million client
// blocks, and 878 hosts in a region.
func BenchmarkFind(b *testing.B) {
	w := fleet(9, 878)
	l := w.lookup()
	l.Random = func() float64 { return 1 - rand.Float64() }
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l.Find("unity", "Listings", "", netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}))
	}
}
