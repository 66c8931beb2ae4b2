package capacity_test

import (
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/capacity"
	"celeryreach.example/celeryreach/targetsize"
)

// The capacity page is generated from the output of Run. Therefore Run must print
// every role, and every figure must come from a measurement.
func TestShortRun(t *testing.T) {
	var b strings.Builder
	c := &capacity.Capacity{Clock: clockwork.NewRealClock(), Target: targetsize.New(), Out: &b, Short: true}
	must.NoError(t, c.Run(t.Context()))
	for _, r := range []string{"look-up", "admission", "queue", "balancer", "membership", "quota", "configuration", "planner", "idempotency", "burn report", "placement", "tokens"} {
		must.StrContains(t, b.String(), "\n| "+r+" |")
	}
	must.StrNotContains(t, b.String(), "NaN")
}
