package dispatch_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/dispatch"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/responsecopier"
	"celeryreach.example/celeryreach/result"
	"celeryreach.example/celeryreach/slot"
)

const bufferLimit = 1 << 10

// newForwarding returns a Dispatch that forwards all requests, and the attempts that were
// left for each of them.
func newForwarding(forward func(w http.ResponseWriter) outcome.Outcome) (*dispatch.Dispatch, *[]int) {
	c := clockwork.NewFakeClock()
	d := newDispatch(c, func() {})
	d.ResponseCopier = &responsecopier.Responsecopier{Clock: c, BufferLimit: bufferLimit, AllowUndelimited: true}
	d.AcquireSlot = func(context.Context, *request.Request) (slot.Slot, outcome.Outcome) {
		return slot.Slot{Forward: true, Release: func(result.Result) {}}, outcome.Outcome{}
	}
	l := new([]int)
	d.Forward = func(_ context.Context, r *request.Request, w http.ResponseWriter) (outcome.Outcome, int) {
		*l = append(*l, r.Attempts)
		return forward(w), 0
	}
	return d, l
}

func serveForwarded(d *dispatch.Dispatch, nonIdempotent bool) (o outcome.Outcome, w *httptest.ResponseRecorder, aborted bool) {
	w = httptest.NewRecorder()
	defer func() { aborted = recover() != nil }()
	r := &request.Request{ID: "1", Method: http.MethodGet, NonIdempotent: nonIdempotent, Attempts: 2, Deadline: d.Clock.Now().Add(time.Minute)}
	return d.Serve(context.Background(), r, w), w, false
}

// Guards against a response that broke off at the other host and that the caller takes for
// complete, and against another attempt when the other host may have used them all.
func TestForwardedResponseBreaksOff(t *testing.T) {
	for _, nonIdempotent := range []bool{false, true} {
		for _, n := range []int{bufferLimit / 2, 2 * bufferLimit} {
			d, l := newForwarding(func(w http.ResponseWriter) outcome.Outcome {
				w.Header().Set("Content-Length", "5000")
				_, _ = w.Write(make([]byte, n)) // fails if the reader has gone
				panic(http.ErrAbortHandler)
			})
			o, w, aborted := serveForwarded(d, nonIdempotent)
			must.EqOp(t, n > bufferLimit, aborted)
			must.SliceLen(t, 1, *l)
			if !aborted {
				must.EqOp(t, outcome.RanUnknown, o.Ran)
				must.EqOp(t, 0, w.Body.Len())
			}
		}
	}
}

// Guards against a refusal of the other host that is lost, or after which the request waits
// for this host's own backend servers.
func TestForwardedRequestIsRefused(t *testing.T) {
	for _, nonIdempotent := range []bool{false, true} {
		v := outcome.Outcome{Outcome: outcome.NoCapacity, Ran: outcome.RanNo, Message: "no backend server has room", RetryAfter: time.Second}
		d, l := newForwarding(func(http.ResponseWriter) outcome.Outcome { return v })
		o, _, _ := serveForwarded(d, nonIdempotent)
		must.Eq(t, v, o)
		must.Eq(t, []int{2}, *l)
	}
}

// Guards against a complete response that is cut, also one longer than the buffer.
func TestForwardedResponseIsComplete(t *testing.T) {
	for _, n := range []int{0, bufferLimit / 2, 5 * bufferLimit} {
		d, _ := newForwarding(func(w http.ResponseWriter) outcome.Outcome {
			w.WriteHeader(http.StatusCreated)
			_, err := w.Write(make([]byte, n))
			must.NoError(t, err)
			return outcome.Outcome{Outcome: outcome.Answered, Ran: outcome.RanYes}
		})
		o, w, _ := serveForwarded(d, true)
		must.EqOp(t, outcome.Answered, o.Outcome)
		must.EqOp(t, http.StatusCreated, w.Code)
		must.EqOp(t, n, w.Body.Len())
	}
}
