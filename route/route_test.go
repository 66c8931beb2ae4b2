package route_test

import (
	"strconv"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"celeryreach.example/celeryreach/rendezvous"
	"celeryreach.example/celeryreach/route"
)

var regions = []string{"abuja", "lagos", "port-harcourt"}

// After any shifts, the next shift moves exactly the number of points
// requested, or all that the source region has, and no points of other regions.
func TestShiftMovesOnlyItsPoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := route.New("Listings", "lagos")
		for range rapid.IntRange(1, 30).Draw(t, "shifts") {
			a := rapid.SampledFrom(regions).Draw(t, "from")
			b := rapid.SampledFrom(regions).Draw(t, "to")
			if a == b {
				continue
			}
			n := rapid.IntRange(0, route.TotalPoints).Draw(t, "points")
			s := r.Shift(a, b, n)
			must.EqOp(t, min(n, r.PointCount(a)), moved(t, r, s, a, b))
			must.EqOp(t, route.TotalPoints, s.Segments[len(s.Segments)-1].Until)
			r = s
		}
	})
}

func moved(t must.T, r, s route.Route, a, b string) int {
	m := 0
	for k := 0; k < route.TotalPoints; {
		i, j := r.Find(k), s.Find(k)
		e := min(i.Until, j.Until)
		if i.Region != j.Region {
			must.EqOp(t, a, i.Region)
			must.EqOp(t, b, j.Region)
			m += e - k
		}
		k = e
	}
	return m
}

// BenchmarkShift compares segments with a baseline, weighted rendezvous hashing
// of regions. It reports the number of client blocks that a shift of 5% from
// one region to another moves, relative to the number that has to move.
func BenchmarkShift(b *testing.B) {
	const n = 200_000
	o := map[string]float64{"abuja": 0.2, "lagos": 0.5, "port-harcourt": 0.3}
	w := map[string]float64{"abuja": 0.25, "lagos": 0.45, "port-harcourt": 0.3}
	r := route.New("Listings", "lagos").Shift("lagos", "abuja", 200_000).Shift("lagos", "port-harcourt", 300_000)
	s := r.Shift("lagos", "abuja", 50_000)
	x, y := 0, 0
	for b.Loop() {
		x, y = 0, 0
		for i := range n {
			k := strconv.Itoa(i)
			if best(k, o) != best(k, w) {
				x++
			}
			if p := route.Point("Listings", k); r.Find(p).Region != s.Find(p).Region {
				y++
			}
		}
	}
	b.ReportMetric(float64(x)/(n*0.05), "rendezvous-moves/needed")
	b.ReportMetric(float64(y)/(n*0.05), "segment-moves/needed")
}

func best(key string, weights map[string]float64) string {
	r, h := "", 0.0
	for _, n := range regions {
		if s := rendezvous.Score(key, n, weights[n]); s > h {
			r, h = n, s
		}
	}
	return r
}
