package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/request"
)

// hedgedRequest tracks the concurrent attempts of an idempotent request.
type hedgedRequest struct {
	dispatch *Dispatch
	request  *request.Request
	results  chan attempt
	sent     chan struct{}
	cancels  []context.CancelFunc
	running  int
	attempts attemptCount
	// mayHaveRun is set if an attempt that ended without a response may have run.
	mayHaveRun bool
}

// serveIdempotent runs an idempotent request. If the response is late, the connection
// may have gone silent or the backend server may be slow. A second attempt on a new
// connection helps in both cases, and the first response is used.
func (d *Dispatch) serveIdempotent(ctx context.Context, r *request.Request, w http.ResponseWriter) outcome.Outcome {
	a := &hedgedRequest{dispatch: d, request: r, results: make(chan attempt, maxTries), sent: make(chan struct{}, maxTries)}
	a.attempts.left = attemptLimit(r)
	defer a.close()
	a.takeAttempt()
	a.startAttempt(ctx, false)
	o := d.copyAnswer(ctx, r, a.firstAnswer(ctx), w)
	// A response that was truncated while it was buffered can be requested again.
	for o.Outcome == outcome.BackendFailed && a.takeAttemptIf(func() bool { return d.mayRetry(attempt{outcome: o, sent: 1}, r) }) {
		a.mayHaveRun = true
		a.startAttempt(ctx, true)
		o = d.copyAnswer(ctx, r, a.firstAnswer(ctx), w)
	}
	return o
}

// firstAnswer returns the first attempt that has a response. If no attempt has a
// response, it returns the outcome of the last attempt.
func (a *hedgedRequest) firstAnswer(ctx context.Context) attempt {
	var late clockwork.Timer
	var c <-chan time.Time
	for {
		select {
		case <-a.sent:
			if late == nil {
				late = a.dispatch.Clock.NewTimer(a.dispatch.Hedge.Delay(a.request.Service.Name))
				defer late.Stop()
				c = late.Chan()
			}
		case <-c:
			c = nil
			if a.takeAttemptIf(func() bool {
				return a.dispatch.mayStart(a.request) && rewindBody(a.request) && a.dispatch.Budget.TakeRetry(a.request.Service.Name)
			}) {
				a.startAttempt(ctx, true)
			}
		case t := <-a.results:
			a.running--
			if t.outcome.Outcome == "" {
				a.cancelOthers(t)
				return t
			}
			if !a.retry(ctx, t) && a.running == 0 {
				t.outcome = a.combinedOutcome(t.outcome)
				return t
			}
		}
	}
}

// retry starts another attempt after t, which has no response, if one is allowed. While
// another attempt is running, it only replaces one of which nothing was sent.
func (a *hedgedRequest) retry(ctx context.Context, t attempt) bool {
	a.cancels[t.index]()
	a.mayHaveRun = a.mayHaveRun || t.outcome.Ran != outcome.RanNo
	if a.running > 0 && t.sent > 0 || !a.takeAttemptIf(func() bool { return a.dispatch.mayRetry(t, a.request) }) {
		return false
	}
	a.startAttempt(ctx, true)
	return true
}

// combinedOutcome turns the outcome of the last attempt into that of the request. If
// an earlier attempt may have run, the caller must not be informed that the request
// did not run.
func (a *hedgedRequest) combinedOutcome(o outcome.Outcome) outcome.Outcome {
	if !a.mayHaveRun || o.Ran != outcome.RanNo {
		return o
	}
	if o.Outcome == outcome.Left || o.Outcome == outcome.DeadlineExceeded {
		// The end of the request's context is no failure of a backend server.
		o.Ran = outcome.RanUnknown
		return o
	}
	return outcome.Outcome{Outcome: outcome.BackendFailed, Ran: outcome.RanUnknown, Message: "an earlier attempt may have run; the last one ended with: " + o.Message}
}

// takeAttempt takes an attempt for startAttempt if the request may have another one.
func (a *hedgedRequest) takeAttempt() bool {
	return len(a.cancels) < maxTries && a.attempts.take()
}

// takeAttemptIf takes an attempt if one is left and allowed returns true. Another attempt may
// take all that are left at any time, so this one is taken before.
func (a *hedgedRequest) takeAttemptIf(allowed func() bool) bool {
	if !a.takeAttempt() {
		return false
	}
	if !allowed() {
		a.attempts.giveBack(1)
		return false
	}
	return true
}

// startAttempt starts an attempt that was taken in its own goroutine, on a new connection if
// fresh is set.
func (a *hedgedRequest) startAttempt(ctx context.Context, fresh bool) {
	x, f := context.WithCancel(ctx)
	n := len(a.cancels)
	a.cancels = append(a.cancels, f)
	a.running++
	go func(r request.Request) {
		t := a.dispatch.attempt(x, &r, fresh, &a.attempts, func() { a.sent <- struct{}{} })
		t.index = n
		a.results <- t
	}(*a.request)
}

// cancelOthers cancels all attempts but t, so that the other backend servers stop
// working while the response is copied.
func (a *hedgedRequest) cancelOthers(t attempt) {
	for i, f := range a.cancels {
		if i != t.index {
			f()
		}
	}
}

// close cancels the attempts that are still running, waits for them and releases their
// slots.
func (a *hedgedRequest) close() {
	for _, f := range a.cancels {
		f()
	}
	for ; a.running > 0; a.running-- {
		t := <-a.results
		if t.answer != nil {
			t.answer.Body.Close()
			a.dispatch.releaseCanceled(t.slot, true)
		}
	}
}
