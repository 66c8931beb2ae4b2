package backendtrial

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// One of twelve backend servers fails, refuses, leaves, or callers cancel, from
// one moment to the next. Callers see a handful of failures at most, nothing is
// sent to where it has no business two seconds later, and no backend server gets
// more requests than it has slots. The first version fails the same test.
func TestTrouble(t *testing.T) {
	for _, v := range []string{"fails fast", "refuses", "leaves", "callers cancel"} {
		b := &Backendtrial{Seed: 1, For: 8 * time.Second, Trouble: v}
		b.Run()
		must.LessEq(t, 10, b.tally.failed, must.Sprint(v))
		must.Zero(t, b.tally.shed, must.Sprint(v))
		if v != "callers cancel" {
			must.LessEq(t, 3, b.tally.afterwards, must.Sprint(v))
		}
		f := &Backendtrial{Seed: 1, For: 8 * time.Second, Trouble: v, First: true}
		f.Run()
		must.Greater(t, 100, f.tally.failed+f.tally.afterwards, must.Sprint(v))
	}
}
