package host

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/growthlimit"
	"celeryreach.example/celeryreach/link"
	"celeryreach.example/celeryreach/linklimit"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/request"
)

// Guards against a host that ends before the last frame of a forwarded request's answer is
// sent.
func TestForwardedRequestCountsUntilItsEnd(t *testing.T) {
	c := clockwork.NewFakeClock()
	x := &components{host: &Host{}, localDomain: &localDomain{
		growthLimit: &growthlimit.Growthlimit{
			Clock: c, Cap: func() float64 { return 1 }, Interval: func() time.Duration { return time.Minute }, IdleBaseRate: func() float64 { return 10 },
		},
		links: &linklimit.Linklimit{Clock: c, Links: func() []link.Link { return nil }},
	}}
	x.localDomain.growthLimit.CountLocal()
	c.Advance(time.Minute) // until the growth limit lets a request in
	ended, o := x.admitForwarded(&request.Request{}, "lagos")
	must.EqOp(t, "", o.Outcome)
	must.EqOp(t, 1, x.requests.inflight.Count()) // also when it has been served
	ended(outcome.Outcome{Outcome: outcome.Answered}, 0)
	must.EqOp(t, 0, x.requests.inflight.Count())
}
