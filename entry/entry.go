// Package entry serves the requests of callers: it identifies a request, admits
// it within its account's limits and passes it to a failure domain that can run
// it.
package entry

import (
	"context"
	"crypto/rand"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/authenticator"
	"celeryreach.example/celeryreach/deadline"
	"celeryreach.example/celeryreach/errorresponse"
	"celeryreach.example/celeryreach/hopheader"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/quota"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/snapshot"
)

// Header fields that callers may set.
const (
	// IdempotencyHeader is the caller's ID of a non-idempotent request.
	IdempotencyHeader = "Idempotency-Key"
	// TimeoutHeader is how long the caller waits for a response, for example
	// "2s".
	TimeoutHeader = "Request-Timeout"
)

// maxIDLength is the maximum length of a caller's idempotency ID.
const maxIDLength = 255

// Entry is the handler of all caller requests except lookups.
type Entry struct {
	// Clock measures deadlines.
	Clock clockwork.Clock
	// Log receives one line for each request that was not answered.
	Log *log.Logger
	// Snapshot returns the configuration in force, nil before the first one.
	Snapshot func() *snapshot.Snapshot
	// Authenticator identifies keys.
	Authenticator *authenticator.Authenticator
	// Quota admits requests within the rate and burst of their account.
	Quota *quota.Quota
	// RunOnce runs a request with an ID at most once, by calling run.
	RunOnce func(ctx context.Context, r *request.Request, w http.ResponseWriter, run func(context.Context, *request.Request, http.ResponseWriter) outcome.Outcome) outcome.Outcome
	// RefusesRequests reports whether the host, which shuts down, refuses new requests.
	RefusesRequests func() bool
	// MayStart reports whether a request with this deadline ends before the host does.
	MayStart func(deadline time.Time) bool
	// ServeLocally runs a request in the host's own failure domain.
	ServeLocally func(ctx context.Context, r *request.Request, w http.ResponseWriter) outcome.Outcome
	// Forward runs a request in another failure domain. It returns NoCapacity
	// if no other domain accepts the request.
	Forward func(ctx context.Context, r *request.Request, w http.ResponseWriter) outcome.Outcome
	// EntryHosts returns caller addresses that a refused caller may try.
	EntryHosts func(account, service string) []string
	// OnOutcome is called with the outcome and duration of each request.
	OnOutcome func(r *request.Request, o outcome.Outcome, d time.Duration)
}

// ServeHTTP serves one caller request.
func (e *Entry) ServeHTTP(w http.ResponseWriter, h *http.Request) {
	t := e.Clock.Now()
	b := &body{reader: h.Body, writer: w, empty: h.ContentLength == 0}
	r, o := e.identify(h, b)
	if o.Outcome == "" && (e.RefusesRequests() || !e.MayStart(r.Deadline)) {
		o = refuse(outcome.Leaving, "the host is shutting down")
	}
	if o.Outcome == "" {
		o = e.serveAndRecover(h.Context(), r, w)
	}
	e.OnOutcome(r, o, e.Clock.Since(t))
	if o.Outcome == outcome.Answered {
		return
	}
	e.Log.Info("request refused", "ID", r.ID, "Account", r.Credential.Account, "Service", r.Service.Name,
		"Outcome", o.Outcome, "Ran", o.Ran, "Message", o.Message)
	if o.Outcome == outcome.Left || o.Outcome == outcome.Broken {
		// The connection is closed or half closed, or the response is
		// incomplete. Aborting the connection ensures that the caller does not
		// treat a partial response as complete.
		panic(http.ErrAbortHandler)
	}
	if o.Ran == outcome.RanNo {
		o.EntryHosts = e.EntryHosts(r.Credential.Account, r.Service.Name)
	}
	b.abandon()
	errorresponse.Write(w, o)
}

// serveAndRecover runs a request and converts the panic of an aborted response
// to an outcome, so that aborted responses are counted like all others.
func (e *Entry) serveAndRecover(ctx context.Context, r *request.Request, w http.ResponseWriter) (o outcome.Outcome) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		if p != http.ErrAbortHandler { //nolint:errorlint // a panic value, not an error chain
			panic(p)
		}
		o = outcome.Outcome{Outcome: outcome.Broken, Ran: outcome.RanUnknown, Message: "the answer broke off"}
		if ctx.Err() != nil {
			o = outcome.Outcome{Outcome: outcome.Left, Ran: outcome.RanUnknown, Message: "the caller left"}
		}
	}()
	return e.admitAndServe(ctx, r, w)
}

func (e *Entry) identify(h *http.Request, b *body) (*request.Request, outcome.Outcome) {
	r := &request.Request{ID: rand.Text(), Method: h.Method, Target: h.URL.RequestURI()}
	c, ok := e.Authenticator.Identify(h)
	if !ok {
		return r, refuse(outcome.KeyUnknown, "the key is missing, wrong or withdrawn")
	}
	if f := authenticator.InvalidKeyReason(h); f != "" {
		return r, refuse(outcome.BadRequest, f)
	}
	r.Credential = c
	v, ok := e.Snapshot().ServiceByPath(h.URL.Path)
	if !ok {
		return r, refuse(outcome.NoRoute, "no service has this path")
	}
	r.Service = v
	d, o := requestTimeout(h, v.Timeout)
	if o.Outcome != "" {
		return r, o
	}
	if f := idempotencyIDFault(h); f != "" {
		return r, refuse(outcome.BadRequest, f)
	}
	r.Deadline = e.Clock.Now().Add(d)
	r.Header = backendHeader(h)
	r.BodyReadStarted = new(atomic.Bool)
	r.Length = h.ContentLength
	r.NonIdempotent = v.NonIdempotent || h.Method == http.MethodPost || h.Method == http.MethodPatch
	r.IdempotencyID = h.Header.Get(IdempotencyHeader)
	if !e.Authenticator.MayUseKeys(r.NonIdempotent) {
		return r, refuse(outcome.KeyStale, "this failure domain is disconnected and cannot verify whether the key was withdrawn")
	}
	return r, b.attach(r)
}

func (e *Entry) admitAndServe(ctx context.Context, r *request.Request, w http.ResponseWriter) outcome.Outcome {
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
	o := e.serveOnce(ctx, r, w)
	if o.Ran == outcome.RanNo {
		e.Quota.Refund(r.Credential.Account)
	}
	return o
}

func (e *Entry) serveOnce(ctx context.Context, r *request.Request, w http.ResponseWriter) outcome.Outcome {
	if r.NonIdempotent && r.IdempotencyID != "" {
		return e.RunOnce(ctx, r, w, e.serveLocallyOrForward)
	}
	return e.serveLocallyOrForward(ctx, r, w)
}

// serveLocallyOrForward runs a request in the local failure domain, and forwards the
// request to another domain if the local one refuses it.
func (e *Entry) serveLocallyOrForward(ctx context.Context, r *request.Request, w http.ResponseWriter) outcome.Outcome {
	o := e.ServeLocally(ctx, r, w)
	if o.Outcome != outcome.NoCapacity || o.Ran != outcome.RanNo || !e.MayStart(r.Deadline) || !rewindBody(r) {
		return o
	}
	if !r.SendGate.Send() {
		return outcome.Outcome{Outcome: outcome.Left, Ran: outcome.RanNo, Message: "the caller left"}
	}
	x, f := deadline.With(ctx, e.Clock, r.Deadline.Sub(e.Clock.Now()))
	defer f()
	l := o.RetryAfter
	o = e.Forward(x, r, w)
	if o.Ran == outcome.RanNo {
		r.SendGate.Unsend()
	}
	if o.Outcome == outcome.NoCapacity && l > 0 && (l < o.RetryAfter || o.RetryAfter == 0) {
		// The local domain will have a free slot before the other domains do.
		o.RetryAfter = l
	}
	return o
}

// rewindBody reports whether the complete body can still be sent, and resets it
// to its start if it is buffered.
func rewindBody(r *request.Request) bool {
	if r.Rewind != nil {
		r.Body = r.Rewind()
		return true
	}
	return r.Body == nil || !r.BodyReadStarted.Load()
}

// backendHeader returns the fields of the caller's header that may be sent to
// backend servers.
func backendHeader(h *http.Request) http.Header {
	r := h.Header.Clone()
	authenticator.RemoveKeys(r)
	hopheader.Strip(r)
	// Both fields concern only the connection between the caller and this host.
	r.Del("Expect")
	r.Del("Content-Length")
	if h.ContentLength >= 0 {
		r.Set("Content-Length", strconv.FormatInt(h.ContentLength, 10))
	}
	return r
}

// idempotencyIDFault describes what is wrong with the caller's idempotency ID.
// It returns an empty string if the ID is valid or missing.
func idempotencyIDFault(h *http.Request) string {
	v := h.Header[IdempotencyHeader]
	if len(v) > 1 {
		return IdempotencyHeader + " is given twice"
	}
	if len(v) == 0 {
		return ""
	}
	if v[0] == "" || len(v[0]) > maxIDLength {
		return IdempotencyHeader + " is empty or too long"
	}
	for _, c := range []byte(v[0]) {
		if c <= ' ' || c > '~' {
			return IdempotencyHeader + " may contain only printable ASCII without spaces"
		}
	}
	return ""
}

func requestTimeout(h *http.Request, d time.Duration) (time.Duration, outcome.Outcome) {
	v := h.Header[TimeoutHeader]
	if len(v) == 0 {
		return d, outcome.Outcome{}
	}
	t, err := time.ParseDuration(v[0])
	if err != nil || t <= 0 || len(v) > 1 {
		return 0, refuse(outcome.BadRequest, TimeoutHeader+" is not a duration, such as \"2s\"")
	}
	return min(t, d), outcome.Outcome{}
}

func refuse(o, m string) outcome.Outcome {
	return outcome.Outcome{Outcome: o, Ran: outcome.RanNo, Message: m}
}
