package split_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"celeryreach.example/celeryreach/ingress"
	"celeryreach.example/celeryreach/split"
	"celeryreach.example/celeryreach/weightedservice"
)

// An operator sends a tenth of a route's requests to a new service and checks
// its counts every few seconds. At any time each service has received its
// portion to within two requests, also after the weights change.
func TestSplitFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := new(split.Split)
		for range 2 {
			a, b := rapid.IntRange(1, 99).Draw(t, "a"), rapid.IntRange(1, 99).Draw(t, "b")
			r := &ingress.Ingress{Name: "view", Portions: []weightedservice.Weightedservice{{Service: "old", Weight: float64(a)}, {Service: "new", Weight: float64(b)}}}
			n := make(map[string]int)
			for i := 1; i <= 300; i++ {
				n[s.Next(r)]++
				w := float64(i*a) / float64(a+b)
				must.Between(t, w-2, float64(n["old"]), w+2)
			}
		}
	})
}
