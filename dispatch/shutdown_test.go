package dispatch_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/shutdown"
	"celeryreach.example/celeryreach/slot"
)

// Guards against a request that waits for a slot when the shutdown begins, is sent all the
// same, and is cut at the end of the shutdown.
func TestShutdownBeginsBeforeSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clockwork.NewRealClock()
		s := &shutdown.Shutdown{Clock: c}
		d := newDispatch(c, nil)
		d.MayStart = s.Allows
		q := d.AcquireSlot
		d.AcquireSlot = func(ctx context.Context, r *request.Request) (slot.Slot, outcome.Outcome) {
			v, o := q(ctx, r)
			s.Begin(5 * time.Second)
			return v, o
		}
		r := &request.Request{ID: "1", Method: http.MethodPost, NonIdempotent: true, Target: "/", Deadline: c.Now().Add(8 * time.Second)}
		o := d.Serve(t.Context(), r, httptest.NewRecorder())
		must.Eq(t, outcome.Leaving, o.Outcome)
		must.Eq(t, outcome.RanNo, o.Ran)
	})
}

// Guards against a second attempt that is cut at the end of the shutdown, when the caller could
// have used the time at another host.
func TestNoLateRetryDuringShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clockwork.NewRealClock()
		s := &shutdown.Shutdown{Clock: c}
		d := newDispatch(c, func() { t.Error("a second attempt was started") })
		d.MayStart = s.Allows
		x, f := context.WithCancel(t.Context())
		c.AfterFunc(time.Second/2, func() { s.Begin(5 * time.Second) })
		c.AfterFunc(10*time.Second, f) // long after a hedge is due
		r := &request.Request{ID: "1", Method: http.MethodGet, Target: "/", Header: make(http.Header), Deadline: c.Now().Add(time.Minute)}
		o := d.Serve(x, r, httptest.NewRecorder())
		must.Eq(t, outcome.Left, o.Outcome)
		must.Eq(t, outcome.RanUnknown, o.Ran)
		d.Upstream.Close()
	})
}
