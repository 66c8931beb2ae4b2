// Package dispatch runs an admitted request on a backend server of the host's
// own failure domain and passes the whole answer on.
package dispatch

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/budget"
	"celeryreach.example/celeryreach/credential"
	"celeryreach.example/celeryreach/deadline"
	"celeryreach.example/celeryreach/hedge"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/queue"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/result"
	"celeryreach.example/celeryreach/slot"
	"celeryreach.example/celeryreach/upstream"
	"celeryreach.example/celeryreach/whole"
)

// maxTries bounds the tries of one request, whatever the budget has left.
const maxTries = 3

// Refusals after which another backend server may be tried. A refusal of the
// queue is none: it says that there is no room at all.
const (
	noRoom       = "the backend server had no room"
	noConnection = "the backend server could not be reached"
)

// Dispatch serves requests of the host's own callers and forwarded ones alike.
// It sends a non-idempotent request once, and again only after proof that it
// did not run.
type Dispatch struct {
	// Clock measures deadlines.
	Clock clockwork.Clock
	// Place returns a slot for a request, or the outcome that says why there
	// is none. Nil leaves it to Queue.
	Place func(ctx context.Context, r *request.Request) (slot.Slot, outcome.Outcome)
	// Queue returns the line of a service, nil if the service is not known.
	Queue func(service string) *queue.Queue
	// Keep sends non-idempotent requests on kept connections at first, where
	// opening one costs the backend server too much.
	Keep bool
	// Valid reports whether a key still works.
	Valid func(c credential.Credential) bool
	// Confirm reports whether the request's token may still be used.
	Confirm func(r *request.Request) bool
	// Upstream sends to backend servers.
	Upstream *upstream.Upstream
	// Timeout is the longest wait for a slot.
	Timeout func() time.Duration
	// Budget bounds second tries.
	Budget *budget.Budget
	// Hedge learns when an answer is late.
	Hedge *hedge.Hedge
	// Whole passes answers on.
	Whole *whole.Whole
	// Linger is how long a slot stays taken after a request was canceled: the
	// backend server works on until it has seen the connection close.
	Linger time.Duration
}

// try is one attempt to get the head of an answer.
type try struct {
	answer  *http.Response
	slot    slot.Slot
	outcome outcome.Outcome
	index   int
}

// Serve runs r and writes the answer to w. The outcome is Answered, or says
// why nothing was written to w. It panics with http.ErrAbortHandler when the
// answer broke off after its head: only a broken connection tells the caller.
func (d *Dispatch) Serve(ctx context.Context, r *request.Request, w http.ResponseWriter) outcome.Outcome {
	x, f := deadline.With(ctx, d.Clock, r.Deadline.Sub(d.Clock.Now()))
	defer f()
	d.Budget.First(r.Service.Name)
	if !r.NonIdempotent {
		return d.race(x, r, w)
	}
	t := d.try(x, r, !d.Keep, func() {})
	for n := 1; n < tries(r) && d.again(t.outcome, r); n++ {
		t = d.try(x, r, true, func() {})
	}
	return d.finish(x, r, t, w)
}

// try waits for a slot and sends r. The slot is released when the outcome is
// not empty.
func (d *Dispatch) try(ctx context.Context, r *request.Request, fresh bool, sent func()) try {
	s, o := d.wait(ctx, r)
	if o.Outcome != "" {
		return try{outcome: o}
	}
	return d.send(ctx, r, s, fresh, sent)
}

// wait returns a slot for r, or the outcome that says why there is none.
func (d *Dispatch) wait(ctx context.Context, r *request.Request) (slot.Slot, outcome.Outcome) {
	if d.Place != nil {
		return d.Place(ctx, r)
	}
	q := d.Queue(r.Service.Name)
	if q == nil {
		return slot.Slot{}, refuse(outcome.NoCapacity, "the service is not known here")
	}
	l := r.Deadline.Sub(d.Clock.Now())
	if l <= 0 {
		return slot.Slot{}, refuse(outcome.DeadlineExceeded, "the time ran out before the request was sent")
	}
	s, o := q.Wait(ctx, r.Credential.Account, min(d.Timeout(), l))
	if o.Outcome == outcome.Left && ctx.Err() != nil {
		o = ended(ctx, false)
	}
	return s, o
}

// send sends r on a slot.
func (d *Dispatch) send(ctx context.Context, r *request.Request, s slot.Slot, fresh bool, sent func()) try {
	// The key may have been withdrawn while the request waited.
	if !d.Valid(r.Credential) {
		s.Release(result.Unused)
		return try{outcome: refuse(outcome.KeyUnknown, "the key was withdrawn")}
	}
	// The process may have been paused since the request was admitted.
	if !d.Confirm(r) {
		s.Release(result.Unused)
		return try{outcome: refuse(outcome.OverRate, "the token is too old")}
	}
	// Or since the wait ended.
	if ctx.Err() != nil || !r.Gate.Send() {
		s.Release(result.Unused)
		return try{outcome: refuse(outcome.Left, "the caller left")}
	}
	sent()
	t := d.Clock.Now()
	p, n, err := d.Upstream.Send(ctx, r, s.Backend, fresh) //nolint:bodyclose // finish or end closes it
	if err == nil {
		d.Hedge.Observe(r.Service.Name, d.Clock.Since(t))
		s.Answered(p.StatusCode, p.Header)
		return try{answer: p, slot: s}
	}
	o := d.failed(ctx, r, s, n, err)
	if o.Ran == outcome.RanNo && !r.Gate.Return() {
		o = refuse(outcome.Left, "the caller left")
	}
	return try{outcome: o}
}

// failed releases the slot of a request without an answer and says what became
// of the request.
func (d *Dispatch) failed(ctx context.Context, r *request.Request, s slot.Slot, ran bool, err error) outcome.Outcome {
	switch {
	case errors.Is(err, upstream.ErrNotRun):
		s.Release(result.Shed)
		return refuse(outcome.NoCapacity, noRoom)
	case ctx.Err() != nil:
		d.linger(s, ran)
		return ended(ctx, ran)
	case !ran && (unreachable(err) || errors.Is(err, upstream.ErrElsewhere)):
		s.Release(result.Refused)
		return refuse(outcome.NoCapacity, noConnection)
	case !ran:
		s.Release(result.Unused)
		return refuse(outcome.NoCapacity, noConnection)
	default:
		s.Release(result.Failed)
		return broken(r, err)
	}
}

// broken is the outcome of a request that was sent and has no whole answer.
func broken(r *request.Request, err error) outcome.Outcome {
	o := outcome.Outcome{Outcome: outcome.BackendFailed, Ran: outcome.RanUnknown, Message: err.Error()}
	if r.NonIdempotent {
		o.Outcome = outcome.OutcomeUnknown
	}
	return o
}

// again reports whether a try with this outcome may be followed by another.
func (d *Dispatch) again(o outcome.Outcome, r *request.Request) bool {
	s := o.Outcome == outcome.NoCapacity && (o.Message == noRoom || o.Message == noConnection)
	b := o.Outcome == outcome.BackendFailed && !r.NonIdempotent
	if !s && !b || !rewind(r) {
		return false
	}
	return d.Budget.Second(r.Service.Name)
}

// finish passes the answer of a try on, or returns its outcome.
func (d *Dispatch) finish(ctx context.Context, r *request.Request, t try, w http.ResponseWriter) outcome.Outcome {
	if t.outcome.Outcome != "" {
		return t.outcome
	}
	err := d.Whole.Copy(w, t.answer, func(err error) { d.free(ctx, t.slot, err) })
	switch {
	case err == nil:
		return outcome.Outcome{Outcome: outcome.Answered, Ran: outcome.RanYes}
	case errors.Is(err, whole.ErrBackend) && ctx.Err() != nil:
		return ended(ctx, true)
	case errors.Is(err, whole.ErrBackend):
		return broken(r, err)
	default:
		panic(http.ErrAbortHandler)
	}
}

// free releases the slot of an answer that has come to its end.
func (d *Dispatch) free(ctx context.Context, s slot.Slot, err error) {
	switch {
	case err == nil:
		s.Release(result.Succeeded)
	case ctx.Err() != nil, errors.Is(err, whole.ErrCaller):
		d.linger(s, true)
	default:
		s.Release(result.Failed)
	}
}

// linger releases the slot of a canceled request once the backend server can
// have stopped.
func (d *Dispatch) linger(s slot.Slot, ran bool) {
	if !ran {
		s.Release(result.Unused)
		return
	}
	if d.Linger <= 0 {
		s.Release(result.Canceled)
		return
	}
	d.Clock.AfterFunc(d.Linger, func() { s.Release(result.Canceled) })
}

// ended is the outcome of a request whose context ended.
func ended(ctx context.Context, ran bool) outcome.Outcome {
	o := outcome.Outcome{Outcome: outcome.Left, Ran: outcome.RanNo, Message: "the caller left"}
	if deadline.Exceeded(ctx) {
		o = refuse(outcome.DeadlineExceeded, "the time ran out")
	}
	if ran {
		o.Ran = outcome.RanUnknown
	}
	return o
}

// unreachable reports whether no connection could be opened.
func unreachable(err error) bool {
	var o *net.OpError
	return errors.As(err, &o) && o.Op == "dial"
}

// tries is how many tries a request has.
func tries(r *request.Request) int {
	if r.Attempts > 0 {
		return min(r.Attempts, maxTries)
	}
	return maxTries
}

// rewind makes the body ready for another try.
func rewind(r *request.Request) bool {
	if r.Body == nil {
		return true
	}
	if r.Rewind == nil {
		return false
	}
	r.Body = r.Rewind()
	return true
}

func refuse(o, m string) outcome.Outcome {
	return outcome.Outcome{Outcome: o, Ran: outcome.RanNo, Message: m}
}
