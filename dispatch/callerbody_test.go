package dispatch_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/iotest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/attempted"
	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/decisionlog"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/result"
	"celeryreach.example/celeryreach/slot"
)

// Guards against a caller's body that can't be read counting as a failure of the backend server.
func TestMalformedBodyIsNoFailureOfBackend(t *testing.T) {
	c := clockwork.NewRealClock()
	d := newDispatch(c, func() {})
	var l []result.Result
	d.AcquireSlot = func(context.Context, *request.Request) (slot.Slot, outcome.Outcome) {
		return slot.Slot{Backend: backend.Backend{Name: "b", Address: "b:80"}, Release: func(v result.Result) { l = append(l, v) }}, outcome.Outcome{}
	}
	r := &request.Request{
		Method: http.MethodPost, Target: "/", Header: make(http.Header), Length: -1, NonIdempotent: true, Deadline: c.Now().Add(time.Minute),
		Body:              io.MultiReader(iotest.ErrReader(errors.New("malformed chunk"))),
		AttemptedBackends: new(attempted.Attempted), DecisionLog: new(decisionlog.Decisionlog),
	}
	o := d.Serve(t.Context(), r, httptest.NewRecorder())
	must.EqOp(t, outcome.BadRequest, o.Outcome)
	must.EqOp(t, outcome.RanUnknown, o.Ran)
	must.Eq(t, []result.Result{result.Canceled}, l)
}
