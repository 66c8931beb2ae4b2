// Package dispatch sends admitted requests to backend servers and copies the responses
// to the callers.
package dispatch

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/credential"
	"celeryreach.example/celeryreach/deadline"
	"celeryreach.example/celeryreach/hedge"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/quarantine"
	"celeryreach.example/celeryreach/queue"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/responsecopier"
	"celeryreach.example/celeryreach/result"
	"celeryreach.example/celeryreach/retrybudget"
	"celeryreach.example/celeryreach/slot"
	"celeryreach.example/celeryreach/upstream"
)

const (
	// maxAttempts limits the backend servers that one request is sent to, however large the
	// retry budget is.
	maxAttempts = 3
	// maxTries limits the attempts including those of which nothing was sent.
	maxTries = 4
)

// Messages of refusals after which another backend server may be tried. Refusals by
// the queue are not among them, since they mean that no backend server has room.
const (
	msgNoRoom       = "the backend server had no room"
	msgNoConnection = "the backend server could not be reached"
	msgNotWanted    = "the backend server wants no requests at the moment"
	msgNotAllowed   = "the backend server may not serve the request"
)

// Dispatch serves requests of the host's own callers as well as forwarded ones. It
// sends a non-idempotent request once, and again only if it is proven that the request
// did not run.
type Dispatch struct {
	// Clock measures deadlines.
	Clock clockwork.Clock
	// AcquireSlot returns a slot for a request, or the outcome that explains why no
	// slot is available. If nil, Queue is used.
	AcquireSlot func(ctx context.Context, r *request.Request) (slot.Slot, outcome.Outcome)
	// Queue returns the queue of a service, or nil if the service is not known.
	Queue func(service string) *queue.Queue
	// ReuseForNonIdempotent allows kept-alive connections for the first attempt of
	// non-idempotent requests, for backend servers on which opening a connection costs
	// too much.
	ReuseForNonIdempotent bool
	// IsKeyValid reports whether a key is still in force.
	IsKeyValid func(c credential.Credential) bool
	// ConfirmToken reports whether the rate token of a request may still be used.
	ConfirmToken func(r *request.Request) bool
	// MayStart reports whether a request with this deadline ends before the host does; nil
	// means always.
	MayStart func(deadline time.Time) bool
	// Upstream sends requests to backend servers.
	Upstream *upstream.Upstream
	// Forward sends a request through another host, for slots that demand it. It writes the
	// response to w, as Serve does. Used is how many of the request's attempts were used, or
	// may have been.
	Forward func(ctx context.Context, r *request.Request, w http.ResponseWriter) (o outcome.Outcome, used int)
	// Timeout returns the longest wait for a slot.
	Timeout func() time.Duration
	// Budget limits second attempts.
	Budget *retrybudget.Retrybudget
	// Quarantine stops requests under which backend servers end; nil stops none.
	Quarantine *quarantine.Quarantine
	// Hedge determines when a response is late.
	Hedge *hedge.Hedge
	// ResponseCopier copies responses to callers.
	ResponseCopier *responsecopier.Responsecopier
	// CancelReleaseDelay is how long the slot of a canceled request stays occupied: the
	// backend server continues to work until it notices that the connection was closed.
	CancelReleaseDelay time.Duration
}

// attempt is the result of sending a request once. It holds either the response, of
// which only the header has been read, and its slot, or the outcome that explains why
// there is no response.
type attempt struct {
	answer  *http.Response
	slot    slot.Slot
	outcome outcome.Outcome
	index   int
	// sent is how many of the request's attempts were used, or may have been by another
	// host: none if it is proven that nothing was sent to a backend server.
	sent int
}

// Serve runs r and writes the response to w. Unless the outcome is Answered, Serve has
// written nothing to w, and the outcome states the reason. Serve panics with
// http.ErrAbortHandler if the response is truncated after its header was written, since
// only a broken connection signals the truncation to the caller.
func (d *Dispatch) Serve(ctx context.Context, r *request.Request, w http.ResponseWriter) outcome.Outcome {
	x, f := deadline.With(ctx, d.Clock, r.Deadline.Sub(d.Clock.Now()))
	defer f()
	if !r.Forwarded { // otherwise the host that forwarded it has counted it
		d.Budget.CountRequest(r.Service.Name)
	}
	if !r.NonIdempotent {
		return d.serveIdempotent(x, r, w)
	}
	// The first attempt is taken.
	c := &attemptCount{left: attemptLimit(r) - 1}
	t := d.attempt(x, r, !d.ReuseForNonIdempotent, c, func() {})
	for i := 1; i < maxTries && c.take(); i++ {
		if !d.mayRetry(t, r) {
			break
		}
		t = d.attempt(x, r, true, c, func() {})
	}
	return d.copyAnswer(x, r, t, w)
}

// attempt waits for a slot and sends r by an attempt that was taken from c. What was taken and
// not used is given back. If the result has an outcome, the slot has been released.
func (d *Dispatch) attempt(ctx context.Context, r *request.Request, fresh bool, c *attemptCount, sent func()) attempt {
	n := 1
	t := d.attemptTaken(ctx, r, fresh, sent, func() int {
		n += c.takeAll()
		return n
	})
	c.giveBack(n - t.sent)
	return t
}

// attemptTaken waits for a slot and sends r. TakeAll takes all attempts that are left, for
// another host, and returns their number.
func (d *Dispatch) attemptTaken(ctx context.Context, r *request.Request, fresh bool, sent func(), takeAll func() int) attempt {
	if o := d.checkQuarantine(r); o.Outcome != "" {
		return attempt{outcome: o}
	}
	s, o := d.waitForSlot(ctx, r)
	if o.Outcome == "" {
		s, o = d.startAttempt(r, s)
	}
	if o.Outcome != "" {
		return attempt{outcome: o}
	}
	if o := d.checkUnsent(ctx, r); o.Outcome != "" {
		s.Release(result.Unused)
		return attempt{outcome: o}
	}
	if s.Forward {
		return d.forward(ctx, r, s, takeAll())
	}
	return d.send(ctx, r, s, fresh, sent)
}

// waitForSlot returns a slot for r, or the outcome that explains why no slot is
// available.
func (d *Dispatch) waitForSlot(ctx context.Context, r *request.Request) (slot.Slot, outcome.Outcome) {
	s, o := d.acquireSlot(ctx, r)
	if o.Outcome == outcome.Left && ctx.Err() != nil {
		o = contextOutcome(ctx, false)
	}
	return s, o
}

// acquireSlot waits for a slot. The outcome is Left if the context of r ends, for whatever
// reason.
func (d *Dispatch) acquireSlot(ctx context.Context, r *request.Request) (slot.Slot, outcome.Outcome) {
	if d.AcquireSlot != nil {
		return d.AcquireSlot(ctx, r)
	}
	q := d.Queue(r.Service.Name)
	if q == nil {
		return slot.Slot{}, refuse(outcome.NoCapacity, "the service is not known here")
	}
	l := r.Deadline.Sub(d.Clock.Now())
	if l <= 0 {
		return slot.Slot{}, refuse(outcome.DeadlineExceeded, "the time ran out before the request was sent")
	}
	return q.Wait(ctx, r.Credential.Account, min(d.Timeout(), l))
}

// checkUnsent returns the outcome of a request that may no longer be sent, after a wait.
func (d *Dispatch) checkUnsent(ctx context.Context, r *request.Request) outcome.Outcome {
	switch {
	case !d.IsKeyValid(r.Credential):
		return refuse(outcome.KeyUnknown, "the key was withdrawn")
	case !d.ConfirmToken(r):
		// The process may have been paused since the request was admitted.
		return refuse(outcome.OverRate, "the token is too old")
	case ctx.Err() != nil:
		// The process may also have been paused after the wait for a slot, and the request
		// may have ended during that pause.
		return contextOutcome(ctx, false)
	case !d.mayStart(r):
		return refuse(outcome.Leaving, "the host may shut down before the request ends")
	case !r.SendGate.Send():
		return refuse(outcome.Left, "the caller left")
	}
	return outcome.Outcome{}
}

// mayStart reports whether r ends before the host does. The host may have begun to shut down
// since r was admitted.
func (d *Dispatch) mayStart(r *request.Request) bool {
	return d.MayStart == nil || d.MayStart(r.Deadline)
}

// send sends r on a slot.
func (d *Dispatch) send(ctx context.Context, r *request.Request, s slot.Slot, fresh bool, sent func()) attempt {
	sent()
	t := d.Clock.Now()
	p, n, err := d.Upstream.Send(ctx, r, s.Backend, fresh) //nolint:bodyclose // copyAnswer or close closes it
	if err == nil {
		r.AttemptedBackends.AddReceived(s.Backend.Name)
		d.Hedge.Observe(r.Service.Name, d.Clock.Since(t))
		s.OnResponse(p.StatusCode, p.Header)
		return attempt{answer: p, slot: s, sent: 1}
	}
	o := d.handleSendError(ctx, r, s, n, err)
	if o.Ran == outcome.RanNo && !r.SendGate.Unsend() {
		o = refuse(outcome.Left, "the caller left")
	}
	if !n && !errors.Is(err, upstream.ErrNotRun) && !errors.Is(err, upstream.ErrWrongBackend) {
		return attempt{outcome: o}
	}
	r.AttemptedBackends.AddReceived(s.Backend.Name)
	return attempt{outcome: o, sent: 1}
}

// handleSendError releases the slot of a request without a response and returns the
// outcome of the request.
func (d *Dispatch) handleSendError(ctx context.Context, r *request.Request, s slot.Slot, ran bool, err error) outcome.Outcome {
	switch {
	case errors.Is(err, upstream.ErrNotRun):
		s.Release(result.Shed)
		return refuseUnlessRan(r, ran, msgNoRoom, err)
	case ctx.Err() != nil:
		d.releaseCanceled(s, ran)
		return contextOutcome(ctx, ran)
	case errors.Is(err, upstream.ErrCallerBody):
		d.releaseCanceled(s, ran)
		return callerBodyOutcome(ran)
	case errors.Is(err, upstream.ErrWrongBackend), !ran && isDialError(err):
		s.Release(result.Refused)
		return refuseUnlessRan(r, ran, msgNoConnection, err)
	case !ran && errors.Is(err, upstream.ErrNotWanted):
		s.Release(result.Unused)
		return refuse(outcome.NoCapacity, msgNotWanted)
	case !ran && errors.Is(err, upstream.ErrNotAllowed):
		s.Release(result.Unused)
		return refuse(outcome.NoCapacity, msgNotAllowed)
	case !ran:
		s.Release(result.Unused)
		return refuse(outcome.NoCapacity, msgNoConnection)
	default:
		s.Release(result.Failed)
		return incompleteOutcome(r, err)
	}
}

// refuseUnlessRan returns the outcome of a request that a backend server has refused. It may
// have run all the same, on an earlier connection.
func refuseUnlessRan(r *request.Request, ran bool, m string, err error) outcome.Outcome {
	if ran {
		return incompleteOutcome(r, err)
	}
	return refuse(outcome.NoCapacity, m)
}

// incompleteOutcome returns the outcome of a request that was sent but has no complete
// response.
func incompleteOutcome(r *request.Request, err error) outcome.Outcome {
	o := outcome.Outcome{Outcome: outcome.BackendFailed, Ran: outcome.RanUnknown, Message: err.Error()}
	if r.NonIdempotent {
		o.Outcome = outcome.OutcomeUnknown
	}
	return o
}

// mayRetry reports whether r may be sent again after attempt t. If it returns true,
// mayRetry has restored the body and, if t reached a backend server, taken the retry from
// the budget.
func (d *Dispatch) mayRetry(t attempt, r *request.Request) bool {
	o := t.outcome
	s := o.Outcome == outcome.NoCapacity && isAboutBackend(o.Message)
	b := o.Outcome == outcome.BackendFailed && !r.NonIdempotent
	if !s && !b || !d.mayStart(r) || !restoreBody(r) {
		return false
	}
	return t.sent == 0 || d.Budget.TakeRetry(r.Service.Name)
}

// isAboutBackend reports whether a refusal has this message because of one backend server.
func isAboutBackend(m string) bool {
	switch m {
	case msgNoRoom, msgNoConnection, msgNotWanted, msgNotAllowed:
		return true
	}
	return false
}

// copyAnswer copies the response of an attempt to the caller. If the attempt has no
// response, copyAnswer returns the attempt's outcome.
func (d *Dispatch) copyAnswer(ctx context.Context, r *request.Request, t attempt, w http.ResponseWriter) outcome.Outcome {
	if t.outcome.Outcome != "" {
		return t.outcome
	}
	err := d.ResponseCopier.Copy(w, t.answer, func(err error) { d.releaseAfterCopy(ctx, t.slot, err) })
	switch {
	case err == nil:
		return outcome.Outcome{Outcome: outcome.Answered, Ran: outcome.RanYes}
	case errors.Is(err, responsecopier.ErrTruncated) && ctx.Err() != nil:
		return contextOutcome(ctx, true)
	case errors.Is(err, responsecopier.ErrTruncated):
		return incompleteOutcome(r, err)
	default:
		panic(http.ErrAbortHandler)
	}
}

// releaseAfterCopy releases the slot of a response that is complete or truncated.
func (d *Dispatch) releaseAfterCopy(ctx context.Context, s slot.Slot, err error) {
	switch {
	case err == nil:
		s.Release(result.Succeeded)
	case ctx.Err() != nil, errors.Is(err, responsecopier.ErrCaller):
		d.releaseCanceled(s, true)
	default:
		s.Release(result.Failed)
	}
}

// releaseCanceled releases the slot of a canceled request after CancelReleaseDelay, so
// that the backend server has had time to stop.
func (d *Dispatch) releaseCanceled(s slot.Slot, ran bool) {
	if !ran {
		s.Release(result.Unused)
		return
	}
	if d.CancelReleaseDelay <= 0 {
		s.Release(result.Canceled)
		return
	}
	d.Clock.AfterFunc(d.CancelReleaseDelay, func() { s.Release(result.Canceled) })
}

// isDialError reports whether err means that no connection could be opened.
func isDialError(err error) bool {
	var o *net.OpError
	return errors.As(err, &o) && o.Op == "dial"
}

// attemptLimit returns how many attempts a request may have.
func attemptLimit(r *request.Request) int {
	if r.Attempts > 0 {
		return min(r.Attempts, maxAttempts)
	}
	return maxAttempts
}

// rewindBody rewinds the body for another attempt and reports whether that was
// possible.
func rewindBody(r *request.Request) bool {
	if r.Body == nil {
		return true
	}
	if r.Rewind == nil {
		return false
	}
	r.Body = r.Rewind()
	return true
}

// restoreBody rewinds the body for another attempt, when no other one is running, and reports
// whether that was possible. A body that nobody has read can be sent as it is.
func restoreBody(r *request.Request) bool {
	return rewindBody(r) || r.BodyReadStarted != nil && !r.BodyReadStarted.Load()
}

// refuse returns the outcome of a request that was not run.
func refuse(o, m string) outcome.Outcome {
	return outcome.Outcome{Outcome: o, Ran: outcome.RanNo, Message: m}
}
