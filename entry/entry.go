// Package entry serves callers: it identifies a request, admits it against its
// account's limits and hands it to a failure domain that can run it.
package entry

import (
	"context"
	"crypto/rand"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/admission"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/quota"
	"celeryreach.example/celeryreach/refusal"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/snapshot"
)

// Header fields that callers may set.
const (
	// IdempotencyHeader is the caller's id of a non-idempotent request.
	IdempotencyHeader = "Idempotency-Key"
	// TimeoutHeader is how long the caller waits, "2s" for example.
	TimeoutHeader = "Request-Timeout"
)

// Entry is the handler of all caller requests but look-ups.
type Entry struct {
	// Clock measures deadlines.
	Clock clockwork.Clock
	// Log receives one line for each request that was not answered.
	Log *log.Logger
	// Snapshot returns the configuration in force, nil before the first.
	Snapshot func() *snapshot.Snapshot
	// Admission identifies keys.
	Admission *admission.Admission
	// Quota admits against rate and burst.
	Quota *quota.Quota
	// Local runs a request in the host's own failure domain.
	Local func(ctx context.Context, r *request.Request, w http.ResponseWriter) outcome.Outcome
	// Forward runs a request in another failure domain. It returns NoCapacity
	// when no other domain takes it.
	Forward func(ctx context.Context, r *request.Request, w http.ResponseWriter) outcome.Outcome
	// EntryHosts returns caller addresses that a refused caller may try.
	EntryHosts func(account, service string) []string
	// Done is told how each request ended.
	Done func(r *request.Request, o outcome.Outcome, d time.Duration)
}

// ServeHTTP serves one caller request.
func (e *Entry) ServeHTTP(w http.ResponseWriter, h *http.Request) {
	t := e.Clock.Now()
	r, o := e.identify(h)
	if o.Outcome == "" {
		o = e.serve(h.Context(), r, w)
	}
	e.Done(r, o, e.Clock.Since(t))
	if o.Outcome == outcome.Answered {
		return
	}
	e.Log.Info("request refused", "ID", r.ID, "Account", r.Credential.Account, "Service", r.Service.Name,
		"Outcome", o.Outcome, "Ran", o.Ran, "Message", o.Message)
	if o.Outcome == outcome.Left {
		// The connection is gone or half closed; breaking it makes sure that
		// nobody takes an empty answer for a whole one.
		panic(http.ErrAbortHandler)
	}
	if o.Ran == outcome.RanNo {
		o.EntryHosts = e.EntryHosts(r.Credential.Account, r.Service.Name)
	}
	refusal.Write(w, o)
}

func (e *Entry) identify(h *http.Request) (*request.Request, outcome.Outcome) {
	r := &request.Request{ID: rand.Text(), Method: h.Method, Target: h.URL.RequestURI()}
	c, ok := e.Admission.Identify(h)
	if !ok {
		return r, refuse(outcome.KeyUnknown, "the key is missing, wrong or withdrawn")
	}
	r.Credential = c
	v, ok := e.Snapshot().Service(h.URL.Path)
	if !ok {
		return r, refuse(outcome.NoRoute, "no service has this path")
	}
	r.Service = v
	d, o := timeout(h, v.Timeout)
	if o.Outcome != "" {
		return r, o
	}
	r.Deadline = e.Clock.Now().Add(d)
	r.Header = h.Header.Clone()
	admission.Strip(r.Header)
	r.Body = h.Body
	r.Length = h.ContentLength
	r.NonIdempotent = v.NonIdempotent || h.Method == http.MethodPost || h.Method == http.MethodPatch
	r.IdempotencyID = h.Header.Get(IdempotencyHeader)
	if !e.Admission.Trusts(r.NonIdempotent) {
		return r, refuse(outcome.KeyStale, "this failure domain is cut off and cannot know whether the key was withdrawn")
	}
	return r, outcome.Outcome{}
}

func (e *Entry) serve(ctx context.Context, r *request.Request, w http.ResponseWriter) outcome.Outcome {
	m := min(e.Snapshot().Preset.MaxWait, r.Deadline.Sub(e.Clock.Now()))
	t, d, ok := e.Quota.Admit(ctx, r.Credential.Account, m)
	if !ok && ctx.Err() != nil {
		return outcome.Outcome{Outcome: outcome.Left, Ran: outcome.RanNo, Message: "the caller left"}
	}
	if !ok {
		return outcome.Outcome{
			Outcome: outcome.OverRate, Ran: outcome.RanNo, Message: "the account's rate is used up", RetryAfter: d,
		}
	}
	r.Admitted = t
	o := e.Local(ctx, r, w)
	if o.Outcome == outcome.NoCapacity && o.Ran == outcome.RanNo {
		o = e.Forward(ctx, r, w)
	}
	if o.Ran == outcome.RanNo {
		e.Quota.Return(r.Credential.Account)
	}
	return o
}

func timeout(h *http.Request, d time.Duration) (time.Duration, outcome.Outcome) {
	v := h.Header.Get(TimeoutHeader)
	if v == "" {
		return d, outcome.Outcome{}
	}
	t, err := time.ParseDuration(v)
	if err != nil || t <= 0 {
		return 0, refuse(outcome.BadRequest, TimeoutHeader+" is no duration, such as \"2s\"")
	}
	return min(t, d), outcome.Outcome{}
}

func refuse(o, m string) outcome.Outcome {
	return outcome.Outcome{Outcome: o, Ran: outcome.RanNo, Message: m}
}
