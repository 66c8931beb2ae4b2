package idempotency_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/record"
	"celeryreach.example/celeryreach/row"
)

// TestVoidRecordWrittenDuringRead guards against "outcome unknown" for an id that did not
// run: the host writes the void record of the first attempt while the second one reads the
// row.
func TestVoidRecordWrittenDuringRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clockwork.NewRealClock()
		s := new(faultyStore)
		i := newHost(c, s, "a", 1, func(string, uint64) bool { return false })
		i.Timeout = time.Minute
		i.Store.Read = func(ctx context.Context, k string) (row.Row, error) {
			r, err := s.read(ctx, k)
			c.Sleep(500 * time.Millisecond) // longer than Run waits between two writes
			return r, err
		}
		x, f := context.WithCancel(t.Context())
		e := make(chan error, 1)
		go func() { e <- i.Run(x) }()
		r, o := i.Begin(x, "camp", "deposit", "1", "body")
		must.Eq(t, "", o.Outcome)
		synctest.Wait()
		r.State = record.Void
		i.End("camp", "deposit", r)
		_, o = i.Begin(x, "camp", "deposit", "2", "body")
		must.Eq(t, "", o.Outcome)
		f()
		must.NoError(t, <-e)
	})
}
