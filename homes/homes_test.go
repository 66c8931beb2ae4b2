package homes_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/homes"
)

// Guards against homes without a common region that allow all regions.
func TestIntersect(t *testing.T) {
	for _, v := range []struct {
		lists [][]string
		want  string
	}{
		{lists: nil, want: "all"},
		{lists: [][]string{nil, {}}, want: "all"},
		{lists: [][]string{{"lagos"}, nil}, want: "lagos"},
		{lists: [][]string{nil, {"lagos", "abuja"}}, want: "lagos,abuja"},
		{lists: [][]string{{"lagos", "abuja"}, {"abuja", "harcourt"}}, want: "abuja"},
		{lists: [][]string{{"lagos"}, {"abuja"}}, want: "none"},
		{lists: [][]string{{"lagos"}, {"abuja"}, {"abuja"}}, want: "none"},
	} {
		h := homes.Intersect(v.lists...)
		must.EqOp(t, v.want, h.String())
		for _, g := range []string{"lagos", "abuja", "harcourt"} {
			w := true
			for _, l := range v.lists {
				w = w && homes.Intersect(l).Allows(g)
			}
			must.EqOp(t, w, h.Allows(g), must.Sprintf("%s in %v", g, v.lists))
		}
	}
}
