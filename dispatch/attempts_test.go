package dispatch_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/attempted"
	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/dispatch"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/result"
	"celeryreach.example/celeryreach/slot"
)

// newMixed returns a Dispatch whose first slots are on the named backend servers, of which
// "away" can't be reached and others never answer, and whose later slots demand another host.
// Sent counts the requests that were sent from here.
func newMixed(c clockwork.Clock, names ...string) (d *dispatch.Dispatch, sent *atomic.Int32) {
	d = newDispatch(c, func() {})
	sent = new(atomic.Int32)
	d.Upstream.Dial = func(ctx context.Context, a string) (net.Conn, error) {
		if a == "away:80" {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errors.New("refused")}
		}
		sent.Add(1)
		return dialMute(ctx, a)
	}
	var n atomic.Int32
	d.AcquireSlot = func(context.Context, *request.Request) (slot.Slot, outcome.Outcome) {
		s := slot.Slot{Forward: true, Release: func(result.Result) {}}
		if i := int(n.Add(1)) - 1; i < len(names) && names[i] != "" {
			s = slot.Slot{Backend: backend.Backend{Name: names[i], Address: names[i] + ":80"}, Release: s.Release}
		}
		return s, outcome.Outcome{}
	}
	return d, sent
}

// Guards against a late response after which this host sends the request too, although it has
// given all attempts that are left to another host.
func TestForwardedAttemptBesideOwn(t *testing.T) {
	for _, v := range []struct {
		name     string
		slots    []string
		attempts int
	}{
		{name: "own one first", slots: []string{"mute"}, attempts: 2},
		{name: "own one could not be sent", slots: []string{"away", "", "mute"}, attempts: 2},
		{name: "own one could not be sent, single attempt", slots: []string{"away", "", "mute"}, attempts: 1},
		{name: "both", slots: []string{"away", "mute", "", "mute"}, attempts: 3},
	} {
		t.Run(v.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := clockwork.NewRealClock()
				d, sent := newMixed(c, v.slots...)
				var given atomic.Int32
				d.Forward = func(ctx context.Context, r *request.Request, _ http.ResponseWriter) (outcome.Outcome, int) {
					given.Add(int32(r.Attempts))
					<-ctx.Done()
					return outcome.Outcome{Outcome: outcome.Left, Ran: outcome.RanUnknown}, r.Attempts
				}
				r := &request.Request{ID: "1", Method: http.MethodGet, Target: "/", Header: make(http.Header), Attempts: v.attempts, Deadline: c.Now().Add(time.Minute)}
				d.Serve(t.Context(), r, httptest.NewRecorder())
				must.EqOp(t, v.attempts, int(sent.Load()+given.Load()))
				must.Positive(t, given.Load())
				d.Upstream.Close()
			})
		})
	}
}

// Guards against a request that another host refuses after it has used attempts, and that is
// then forwarded with all of them again.
func TestForwardedAttemptsAreCounted(t *testing.T) {
	for _, nonIdempotent := range []bool{false, true} {
		var given []int
		d, _ := newForwarding(nil)
		d.Forward = func(_ context.Context, r *request.Request, _ http.ResponseWriter) (outcome.Outcome, int) {
			given = append(given, r.Attempts)
			used := 1
			if len(given) == 2 {
				used = 0
			}
			// The refusal of the other host's own dispatch, after which there may be a retry.
			return outcome.Outcome{Outcome: outcome.NoCapacity, Ran: outcome.RanNo, Message: "the backend server had no room"}, used
		}
		o, _, _ := serveForwarded(d, nonIdempotent)
		must.Eq(t, []int{2, 1, 1}, given)
		must.EqOp(t, outcome.NoCapacity, o.Outcome)
		must.EqOp(t, outcome.RanNo, o.Ran)
	}
}

// Guards against an attempt that a refusal of the backend server, or a late response, hides
// from the host that forwarded the request.
func TestAttemptsAreRecorded(t *testing.T) {
	for _, v := range []struct {
		slots []string
		want  []string
	}{
		{slots: []string{"away", "away", "away", "away"}},
		{slots: []string{"mute", "mute"}, want: []string{"mute", "mute"}},
		{slots: []string{"away", "mute", "mute"}, want: []string{"mute", "mute"}},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := clockwork.NewRealClock()
			d, _ := newMixed(c, v.slots...)
			a := new(attempted.Attempted)
			r := &request.Request{ID: "1", Method: http.MethodGet, Target: "/", Header: make(http.Header), Attempts: 2, Deadline: c.Now().Add(time.Minute), AttemptedBackends: a}
			d.Serve(t.Context(), r, httptest.NewRecorder())
			must.Eq(t, v.want, a.Received())
			d.Upstream.Close()
		})
	}
}
