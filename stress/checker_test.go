package stress

import (
	"testing"

	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/outcome"
)

// The checker must report each kind of violation, and must report nothing for a
// correct run.
func TestCheckerFindsEachViolation(t *testing.T) {
	a := attemptResult{id: "a-0", request: "a", atMostOnce: true, reportedRan: outcome.RanYes}
	b := attemptResult{id: "a-1", request: "a", atMostOnce: true, reportedRan: outcome.RanNo}
	for _, c := range []struct {
		results []attemptResult
		runs    map[string]int
		want    int
	}{
		{[]attemptResult{a, b}, map[string]int{"a-0": 1}, 0},
		{[]attemptResult{a, b}, map[string]int{"a-0": 2}, 1},
		{[]attemptResult{a, {id: "a-1", request: "a", atMostOnce: true}}, map[string]int{"a-0": 1, "a-1": 1}, 1},
		{[]attemptResult{b}, map[string]int{"a-1": 1}, 1},
		{[]attemptResult{a}, nil, 1},
		{[]attemptResult{{id: "g", responseError: "the answer is not whole"}}, nil, 1},
	} {
		j := checker{results: c.results}
		must.SliceLen(t, c.want, j.findViolations(c.runs))
	}
	must.Eq(t, "", checkResponse("x GET /a d\n--.", "GET", "/a", "d"))
	must.NotEq(t, "", checkResponse("x GET /b d\n--.", "GET", "/a", "d"))
	must.NotEq(t, "", checkResponse("x GET /a d\n--", "GET", "/a", "d"))
}
