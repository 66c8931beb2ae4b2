package edge

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/retrybudget"
)

// Guards against a request that net/http sends again during the shutdown, although this host
// ends before the answer is due.
func TestNoLateRepeatDuringShutdown(t *testing.T) {
	c := clockwork.NewFakeClock()
	e := &Edge{Clock: c, retryBudget: &retrybudget.Retrybudget{Ratio: func() float64 { return 1 }}}
	e.shutdown.Clock = c
	e.retryBudget.CountRequest("")
	late, soon := &request.Request{Deadline: c.Now().Add(8 * time.Second)}, &request.Request{Deadline: c.Now().Add(time.Second)}
	must.True(t, e.mayRepeat(late))
	e.shutdown.Begin(5 * time.Second)
	must.False(t, e.mayRepeat(late))
	must.True(t, e.mayRepeat(soon))
}
