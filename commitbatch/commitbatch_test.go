package commitbatch_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/commit"
	"celeryreach.example/celeryreach/commitbatch"
	"celeryreach.example/celeryreach/row"
)

// TestWritesShareCommits checks that a hundred simultaneous writes need three
// commits. The first write is committed alone, and the other writes wait until
// MinInterval has passed. They share two commits, because the first of the two
// reaches the row limit.
func TestWritesShareCommits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := make(chan int, 100)
		g := &commitbatch.Commitbatch{
			Clock: clockwork.NewRealClock(), MinInterval: time.Second, MaxRows: 100, Timeout: time.Hour,
			Commit: func(_ context.Context, k commit.Commit) (bool, error) {
				s <- len(k.Put)
				return true, nil
			},
		}
		ok, err := g.Write(t.Context(), row.Row{Key: "first"})
		must.NoError(t, err)
		must.True(t, ok)
		d := make(chan bool, 99)
		for range 99 {
			go func() {
				ok, err := g.Write(t.Context(), row.Row{Key: "next"}, row.Row{Key: "index"})
				d <- ok && err == nil
			}()
		}
		for range 99 {
			must.True(t, <-d)
		}
		close(s)
		var n []int
		for v := range s {
			n = append(n, v)
		}
		must.Eq(t, []int{1, 100, 98}, n)
	})
}
