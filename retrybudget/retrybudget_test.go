package retrybudget_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"celeryreach.example/celeryreach/retrybudget"
)

// When an overloaded backend server answers every request late, second attempts must
// remain a fraction of the first ones, whatever their order, so that they do not
// prolong the overload.
func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := rapid.Float64Range(0, 0.5).Draw(t, "ratio")
		b := &retrybudget.Retrybudget{Ratio: func() float64 { return q }}
		f, s := 0, 0
		for range rapid.IntRange(0, 500).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "first") {
				b.CountRequest("listings")
				f++
			} else if b.TakeRetry("listings") {
				s++
			}
			must.LessEq(t, 5+q*float64(f)+1e-6, float64(s))
		}
	})
}
