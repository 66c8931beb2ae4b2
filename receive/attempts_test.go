package receive

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/wire"
)

// Guards against a refusal after which the sender counts attempts that were not used, or
// doesn't count those that were.
func TestRefusalTellsAttempts(t *testing.T) {
	for _, v := range []struct {
		name  string
		key   string
		admit string
		sent  []string
	}{
		{name: "key withdrawn", key: "gone"},
		{name: "not admitted", key: "k", admit: outcome.Leaving},
		{name: "no attempt", key: "k"},
		{name: "two attempts", key: "k", sent: []string{"c1", "c2"}},
	} {
		t.Run(v.name, func(t *testing.T) {
			r := newHarness()
			r.admit = v.admit
			r.receive.Serve = func(_ context.Context, q *request.Request, _ http.ResponseWriter) outcome.Outcome {
				for _, n := range v.sent {
					q.AttemptedBackends.AddReceived(n)
				}
				return outcome.Outcome{Outcome: outcome.NoCapacity, Ran: outcome.RanNo}
			}
			go func() {
				r.err = r.receive.Stream(&stream{harness: r, ctx: t.Context()})
				close(r.ended)
			}()
			h := &wire.Request{KeyId: v.key, ConfigVersion: 4, Service: "s", TimeoutNanoseconds: int64(time.Minute), AttemptedBackends: []string{"c0"}}
			r.in <- &wire.Frame{Part: &wire.Frame_Request{Request: h}}
			<-r.ended
			must.NoError(t, r.err)
			must.NotNil(t, r.refusal)
			must.NotNil(t, r.refusal.Attempts)
			must.EqOp(t, len(v.sent), int(r.refusal.GetAttempts()))
			must.SliceEqFunc(t, v.sent, r.refusal.GetAttemptedBackends(), func(a, b string) bool { return a == b })
		})
	}
}
