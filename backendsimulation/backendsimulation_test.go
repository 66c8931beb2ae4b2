package backendsimulation

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// One of twelve backend servers suddenly fails, refuses connections or leaves,
// or callers cancel. Callers may see only a handful of failures, the faulty
// backend server gets next to no requests after two seconds, and no backend
// server gets more requests than it has slots. The balancer of the first
// version fails these checks.
func TestFaultRecovery(t *testing.T) {
	for _, v := range []string{"fails fast", "refuses", "leaves", "callers cancel"} {
		b := &Backendsimulation{Seed: 1, Duration: 8 * time.Second, Fault: v}
		b.Run()
		must.LessEq(t, 10, b.counts.failed, must.Sprint(v))
		must.Zero(t, b.counts.shed, must.Sprint(v))
		if v != "callers cancel" {
			must.LessEq(t, 3, b.counts.afterRecovery, must.Sprint(v))
		}
		f := &Backendsimulation{Seed: 1, Duration: 8 * time.Second, Fault: v, Baseline: true}
		f.Run()
		must.Greater(t, 100, f.counts.failed+f.counts.afterRecovery, must.Sprint(v))
	}
}
