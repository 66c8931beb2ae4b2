package deadline_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/deadline"
)

// A caller of a full host waits although a sibling lends a slot: the slot is
// taken only by a request whose deadline is within the loan, and a context
// that ended in time but did not tell when kept every lent slot idle.
func TestTellsItsDeadline(t *testing.T) {
	c := clockwork.NewFakeClock()
	x, f := deadline.With(context.Background(), c, time.Second)
	defer f()
	at, ok := x.Deadline()
	must.True(t, ok)
	must.Eq(t, c.Now().Add(time.Second), at)
	y, g := deadline.With(x, c, time.Minute)
	defer g()
	at, _ = y.Deadline()
	must.Eq(t, c.Now().Add(time.Second), at)
	c.Advance(time.Second)
	<-y.Done()
	must.True(t, deadline.Exceeded(y))
}
