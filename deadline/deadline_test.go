package deadline_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/deadline"
)

// A slot on loan from another host is given only to a request whose deadline is within
// the loan. A context that ended in time but did not report its deadline kept all lent
// slots idle while callers of a full host waited.
func TestContextReportsDeadline(t *testing.T) {
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
