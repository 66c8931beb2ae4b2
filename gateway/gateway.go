// Package gateway admits requests of callers, places them on backend servers and
// records how they end.
package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/attempted"
	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/clientbody"
	"celeryreach.example/celeryreach/credential"
	"celeryreach.example/celeryreach/deadline"
	"celeryreach.example/celeryreach/decisionlog"
	"celeryreach.example/celeryreach/ingress"
	"celeryreach.example/celeryreach/latency"
	"celeryreach.example/celeryreach/memorybudget"
	"celeryreach.example/celeryreach/memoryhold"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/placement"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/routeindex"
	"celeryreach.example/celeryreach/split"
	"celeryreach.example/celeryreach/stalled"
	"celeryreach.example/celeryreach/tokens"
)

const (
	// logSampleInterval is the number of requests, answered or canceled by their
	// callers, of which one is logged.
	logSampleInterval = 100
	// maxWaitDivisor sets the longest wait for a slot to a fraction of the latency
	// objective. A caller that is refused after that wait can retry and still be
	// served within the objective.
	maxWaitDivisor = 8
	// minPermitRequests is the minimum number of backend servers for which a permit is
	// requested. It applies even if no waiting time is left, as on a second attempt or
	// after a permit request to another region.
	minPermitRequests = 2
	// maxBufferedBytes of the body of a request are buffered before it is sent, so that it can be
	// sent again. A longer body is read while it is sent.
	maxBufferedBytes = 256 << 10
	// maxBodyWait is how long a request that was admitted waits for its body. After a longer time
	// it is admitted again: a token of its account that was kept would exceed the rate later.
	maxBodyWait = 250 * time.Millisecond
	// uploadStall is how long the client of a long body has made no progress before the slot of its
	// request is taken back for another one.
	uploadStall = time.Second
	// uploadProgressTime is how long such a client may make no progress at all: requests at other hosts
	// can't take the slot back.
	uploadProgressTime = 5 * time.Second
	// uploadEndTimeout is how long a request waits at least for such a slot.
	uploadEndTimeout = 100 * time.Millisecond
	// noMemoryRetryAfter is the delay after which a request for which there was no memory may be
	// sent again: clients that stand still have lost theirs by then.
	noMemoryRetryAfter = time.Second
	// retryAfter is the delay after which a refused request may be sent again, about
	// the time in which a backend server finishes its running requests.
	retryAfter = 250 * time.Millisecond
	// A caller that is refused until a known time is told a longer delay, so that not all
	// callers return at once. The added time is random, up to 1/spreadDivisor of the delay
	// and up to maxSpread.
	spreadDivisor = 4
	maxSpread     = 2 * time.Second
)

// Gateway serves requests on routes.
type Gateway struct {
	// Clock measures deadlines.
	Clock clockwork.Clock
	// Log receives one line for each request that failed, and for a sample of the
	// requests that were answered or whose caller disconnected.
	Log *log.Logger
	// Index returns the configuration in force, or nil before the first one.
	Index func() *routeindex.Routeindex
	// StoreAge returns the time since the store last answered this host or another one
	// from which it receives the configuration; ok is false if it never did.
	StoreAge func() (d time.Duration, ok bool)
	// Tokens hold the rates of client accounts.
	Tokens *tokens.Tokens
	// Placement chooses backend servers for requests.
	Placement *placement.Placement
	// RequestPermit requests permission to send one more request to a backend server now.
	// If permission is denied, again is the time after which a request for it may
	// succeed. Nil permits all requests.
	RequestPermit func(ctx context.Context, b backend.Backend) (again time.Duration, ok bool)
	// ReportedLoad reads the load that a backend server reports in the header of a
	// response.
	ReportedLoad func(h http.Header) (running, waiting int, ok bool)
	// Dispatch sends a request and copies the response to the caller.
	Dispatch func(ctx context.Context, r *request.Request, w http.ResponseWriter) outcome.Outcome
	// Latency records the duration of each answered request.
	Latency *latency.Latency
	// Random returns a random number in [0, 1), which spreads the callers that are refused
	// until the same time; nil adds nothing.
	Random func() float64
	// OnOutcome is called with the outcome of each request.
	OnOutcome func(o string)
	// MayStart reports whether a request with this deadline ends before the host does; nil
	// means always.
	MayStart func(deadline time.Time) bool
	// Memory is where the memory for request bodies comes from; nil has no limit.
	Memory *memorybudget.Memorybudget
	// Uploads holds the waits for clients whose long bodies occupy slots; nil holds none.
	Uploads *stalled.Stalled
	// IsLeaving reports whether the host is shutting down. The log then has the end of each
	// request; nil means never.
	IsLeaving func() bool

	split       split.Split
	sampleCount atomic.Uint64 // requests subject to sampling in the log
}

// Serve admits and runs r, which was sent to path with the given key. The caller of
// Serve has set the fields of r that come from the HTTP request. If the outcome is not
// Answered, it is the reason, and nothing was written to w.
func (g *Gateway) Serve(ctx context.Context, r *request.Request, path, key string, w http.ResponseWriter) outcome.Outcome {
	r.Path = path
	n := g.Clock.Now()
	b := g.Index()
	if b == nil {
		return refuse(outcome.Leaving, "no configuration is known yet", retryAfter)
	}
	d := r.Deadline
	i, o := g.admit(ctx, b, r, path, key)
	if o.Outcome == "" && r.Body != nil {
		r.Memory = &memoryhold.Memoryhold{Budget: g.Memory}
		defer r.Memory.Release()
		b, i, o = g.readBody(ctx, b, i, r, d, key)
	}
	// If the response is truncated after its header, Dispatch panics to close the
	// caller's connection. The request is recorded in that case too.
	defer func() {
		if o.Outcome == "" {
			o = outcome.Outcome{Outcome: outcome.Broken, Ran: outcome.RanYes, Message: "the answer broke off after its head"}
		}
		g.recordEnd(b, r, i, o, g.Clock.Since(n))
	}()
	if o.Outcome == "" {
		o = g.run(ctx, r, w)
	}
	return o
}

// ServeForwarded runs r, which another host admitted and forwarded to this one. If the
// outcome is not Answered, it is the reason, and nothing was written to w.
func (g *Gateway) ServeForwarded(ctx context.Context, r *request.Request, w http.ResponseWriter) (o outcome.Outcome) {
	n := g.Clock.Now()
	r.Forwarded, r.Admitted = true, n
	r.DecisionLog = new(decisionlog.Decisionlog)
	r.DecisionLog.Add(n, "request taken from another host", "Homes", r.Homes, "HomesVersion", r.HomesVersion, "Version", g.Index().Config.Version)
	// As in Serve, also if Dispatch panics.
	o = outcome.Outcome{Outcome: outcome.Broken, Ran: outcome.RanYes, Message: "the answer broke off after its head"}
	defer func() { g.logEnd(r, o, g.Clock.Since(n), g.Index().Config.Version) }()
	if g.HoldToHomes(r); r.Homes.IsEmpty() {
		o = refuse(outcome.NoCapacity, "no region may serve the request", retryAfter)
		return o
	}
	r.Memory = &memoryhold.Memoryhold{Budget: g.Memory}
	defer r.Memory.Release()
	if o = bufferBody(r); o.Outcome != "" {
		return o
	}
	o = g.run(ctx, r, w)
	return o
}

// readBody buffers the body of a request that was admitted. If that took long, the request is
// admitted again, by the configuration that is then in force. Deadline is that of the caller.
func (g *Gateway) readBody(ctx context.Context, b *routeindex.Routeindex, i *ingress.Ingress, r *request.Request, deadline time.Time, key string) (*routeindex.Routeindex, *ingress.Ingress, outcome.Outcome) {
	n := g.Clock.Now()
	o := bufferBody(r)
	l := g.Clock.Since(n) > maxBodyWait
	if (l || o.Outcome != "") && r.Account != "" {
		g.Tokens.Refund(r.Account)
	}
	switch {
	case o.Outcome != "":
		return b, i, o
	case l:
		b, r.Deadline = g.Index(), deadline
		i, o = g.admit(ctx, b, r, r.Path, key)
	default:
		r.Admitted = g.Clock.Now()
	}
	if r.ClientBody != nil && r.Rewind == nil {
		r.ClientBody.Stalled, r.ClientBody.ProgressTime = g.Uploads, uploadProgressTime
	}
	return b, i, o
}

// bufferBody buffers the body of r unless it is too long. A longer one can be sent again as long as
// nobody has read it.
func bufferBody(r *request.Request) outcome.Outcome {
	switch err := r.BufferBody(maxBufferedBytes); {
	case err == nil:
		r.TrackBody()
		return outcome.Outcome{}
	case errors.Is(err, request.ErrNoMemory):
		return refuse(outcome.NoCapacity, err.Error(), noMemoryRetryAfter)
	case errors.Is(err, clientbody.ErrLate), errors.Is(err, clientbody.ErrStalled):
		return refuse(outcome.DeadlineExceeded, err.Error(), 0)
	default:
		return refuse(outcome.Left, "the request body ended early", 0)
	}
}

// admit finds the route and the client account of r and takes a token from the
// account's rate.
func (g *Gateway) admit(ctx context.Context, b *routeindex.Routeindex, r *request.Request, path, key string) (*ingress.Ingress, outcome.Outcome) {
	i := b.Route(r.Host, path)
	if i == nil {
		g.traceRefusal(b, r)
		return nil, refuse(outcome.NoRoute, "no route has this path", 0)
	}
	var a *account.Account
	if !i.Public && b.RequiresKeys() {
		a = b.Account(key)
		if a == nil {
			return i, g.refuseKey(b, r, key)
		}
		r.Account = a.Name
		r.Credential = credential.Credential{Account: a.Name, Hash: credential.Hash(key)}
	}
	g.applyRoute(b, r, i, a)
	if g.MayStart != nil && !g.MayStart(r.Deadline) {
		return i, refuse(outcome.Leaving, "the host may shut down before the request ends", 0)
	}
	if a != nil {
		n, d, ok := g.Tokens.Take(ctx, a.Name, r.MaxWait)
		if !ok && ctx.Err() != nil {
			return i, refuse(outcome.Left, "the caller left", 0)
		}
		if !ok {
			r.DecisionLog.Add(g.Clock.Now(), "request over its rate", "Account", a.Name, "Tokens", n, "Rate", a.Rate, "Version", b.Config.Version)
			return i, refuse(outcome.OverRate, "the account's rate is used up", d)
		}
		r.DecisionLog.Add(g.Clock.Now(), "request admitted", "Route", i.Name, "Account", a.Name, "Tokens", n, "Version", b.Config.Version)
	}
	return i, outcome.Outcome{}
}

// refuseKey refuses a request whose key is missing or belongs to no client account.
func (g *Gateway) refuseKey(b *routeindex.Routeindex, r *request.Request, key string) outcome.Outcome {
	if key == "" {
		g.traceRefusal(b, r)
		return refuse(outcome.KeyUnknown, "the request has no key", 0)
	}
	g.traceRefusal(b, r, withdrawnFields(b, credential.Hash(key))...)
	return refuse(outcome.KeyUnknown, "the key is not known", 0)
}

// traceRefusal adds the state of the configuration that refuses r to the decision log
// of r.
func (g *Gateway) traceRefusal(b *routeindex.Routeindex, r *request.Request, fields ...any) {
	n := g.Clock.Now()
	var a any = "never"
	if d, ok := g.StoreAge(); ok {
		a = d
	}
	if r.DecisionLog == nil {
		r.DecisionLog = new(decisionlog.Decisionlog)
	}
	r.DecisionLog.Add(n, "request refused by the configuration",
		append([]any{"Version", b.Config.Version, "ConfigAge", n.Sub(b.Since), "StoreAge", a}, fields...)...)
}

// withdrawnFields returns the log fields that show whether a key was withdrawn, and in
// which version of the configuration.
func withdrawnFields(b *routeindex.Routeindex, hash string) []any {
	v, ok := b.Withdrawn(hash)
	if !ok {
		return []any{"Withdrawn", false}
	}
	return []any{"Withdrawn", true, "WithdrawnBy", v}
}

// applyRoute sets the fields of r that the route and the client account determine.
func (g *Gateway) applyRoute(b *routeindex.Routeindex, r *request.Request, i *ingress.Ingress, a *account.Account) {
	n := g.Clock.Now()
	if t := n.Add(i.Timeout); i.Timeout > 0 && t.Before(r.Deadline) {
		r.Deadline = t
	}
	r.Admitted = n
	r.Service.Name = g.split.Next(i)
	if s := b.Service(r.Service.Name); s != nil {
		r.Service = *s
	}
	r.Route = i.Name
	r.NonIdempotent = i.NonIdempotent
	r.Attempts = i.Attempts
	r.MaxWait = i.Objective / maxWaitDivisor
	r.AttemptedBackends = new(attempted.Attempted)
	r.DecisionLog = new(decisionlog.Decisionlog)
	r.Priority = i.Priority
	if a != nil && a.Ranked {
		r.Priority = a.Priority
	}
	r.Homes, r.HomesVersion = routeindex.Homes(i, a), b.Config.Version
	if !i.Sticky {
		r.Object = ""
	}
}

// run sends r to a backend server and returns the token of its account if it did not
// run.
func (g *Gateway) run(ctx context.Context, r *request.Request, w http.ResponseWriter) outcome.Outcome {
	d := r.Deadline.Sub(g.Clock.Now())
	if d <= 0 {
		return refuse(outcome.DeadlineExceeded, "the time ran out before the request was sent", 0)
	}
	x, f := deadline.With(ctx, g.Clock, d)
	defer f()
	r.SetFingerprint()
	g.Placement.CountArrival(r)
	o := g.Dispatch(x, r, w)
	if o.Outcome == outcome.KeyUnknown {
		b := g.Index()
		g.traceRefusal(b, r, withdrawnFields(b, r.Credential.Hash)...)
	}
	// The refusals of Dispatch itself have no delay.
	if o.Outcome == outcome.NoCapacity && o.Ran == outcome.RanNo && o.RetryAfter == 0 {
		o.RetryAfter = g.retryDelay(r)
	}
	u := o.Outcome == outcome.Quarantined && len(r.AttemptedBackends.Received()) == 0
	if (u || o.Ran == outcome.RanNo) && r.Account != "" && !r.Forwarded {
		g.Tokens.Refund(r.Account)
	}
	return o
}

// IsKeyValid reports whether the key that a request came with is still in force. A request
// without a key is always valid.
func (g *Gateway) IsKeyValid(c credential.Credential) bool {
	return c.Hash == "" || g.Index().HasKey(c.Hash)
}

// recordEnd counts and logs the end of a request, and records the latency of an
// answered one.
func (g *Gateway) recordEnd(b *routeindex.Routeindex, r *request.Request, i *ingress.Ingress, o outcome.Outcome, d time.Duration) {
	g.OnOutcome(o.Outcome)
	if o.Outcome == outcome.Answered {
		g.Latency.Observe(r.Route, d)
	}
	if i != nil {
		r.Route = i.Name
	}
	g.logEnd(r, o, d, b.Config.Version)
}

// logEnd logs the end of a request, unless it was answered or its caller left and it is
// not in the sample. While the host shuts down, all are in the sample.
func (g *Gateway) logEnd(r *request.Request, o outcome.Outcome, d time.Duration, version uint64) {
	l := g.IsLeaving != nil && g.IsLeaving()
	if (o.Outcome == outcome.Answered || o.Outcome == outcome.Left) && g.sampleCount.Add(1)%logSampleInterval != 0 && !l {
		return
	}
	r.DecisionLog.Write(g.Log, r.ID, g.Clock.Now())
	g.Log.Info("request ended", "Request", r.ID, "Route", r.Route, "Account", r.Account, "Service", r.Service.Name,
		"Outcome", o.Outcome, "Ran", o.Ran, "Cause", o.Message, "RetryAfter", o.RetryAfter,
		"Backends", r.AttemptedBackends.Names(), "Received", r.AttemptedBackends.Received(), "Forwarded", r.Forwarded, "Took", d, "Version", version)
}

// refuse returns the outcome of a request that was not run.
func refuse(o, m string, d time.Duration) outcome.Outcome {
	return outcome.Outcome{Outcome: o, Ran: outcome.RanNo, Message: m, RetryAfter: d}
}
