package stress

import (
	"testing"

	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/outcome"
)

// The test of the test: each broken rule is found, and a clean run is clean.
func TestVerdictFindsEachViolation(t *testing.T) {
	a := claim{id: "a-0", request: "a", once: true, ran: outcome.RanYes}
	b := claim{id: "a-1", request: "a", once: true, ran: outcome.RanNo}
	for _, c := range []struct {
		claims []claim
		runs   map[string]int
		want   int
	}{
		{[]claim{a, b}, map[string]int{"a-0": 1}, 0},
		{[]claim{a, b}, map[string]int{"a-0": 2}, 1},
		{[]claim{a, {id: "a-1", request: "a", once: true}}, map[string]int{"a-0": 1, "a-1": 1}, 1},
		{[]claim{b}, map[string]int{"a-1": 1}, 1},
		{[]claim{a}, nil, 1},
		{[]claim{{id: "g", fault: "the answer is not whole"}}, nil, 1},
	} {
		j := judge{claims: c.claims}
		must.SliceLen(t, c.want, j.verdict(c.runs))
	}
	must.Eq(t, "", whole("x GET /a d\n--.", "GET", "/a", "d"))
	must.NotEq(t, "", whole("x GET /b d\n--.", "GET", "/a", "d"))
	must.NotEq(t, "", whole("x GET /a d\n--", "GET", "/a", "d"))
}
