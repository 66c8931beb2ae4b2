// Package gateway takes a caller's request from its key to its answer.
package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/credential"
	"celeryreach.example/celeryreach/deadline"
	"celeryreach.example/celeryreach/ingress"
	"celeryreach.example/celeryreach/ingressbook"
	"celeryreach.example/celeryreach/latency"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/placement"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/result"
	"celeryreach.example/celeryreach/slot"
	"celeryreach.example/celeryreach/split"
	"celeryreach.example/celeryreach/tokens"
	"celeryreach.example/celeryreach/trail"
	"celeryreach.example/celeryreach/tried"
)

const (
	// sampled is how many requests that were answered, or whose caller left, have
	// their lines in the log once.
	sampled = 100
	// patienceParts is the part of the objective that a request may wait for a
	// slot. A caller that is refused after that can still be served in time
	// when it comes back.
	patienceParts = 8
	// permitTries is for how many backend servers a permit is asked for at least, also when
	// a request has no patience left: on a second try, or after a question to another
	// region.
	permitTries = 2
	// retryAfter is when a request that found no room may come back, about the
	// time in which a backend server ends its running requests.
	retryAfter = 250 * time.Millisecond
)

// Gateway serves requests on routes.
type Gateway struct {
	// Clock measures deadlines.
	Clock clockwork.Clock
	// Log receives one line for each request that was not answered, and for a
	// sample of the answered.
	Log *log.Logger
	// Book returns the configuration in force, nil before the first.
	Book func() *ingressbook.Ingressbook
	// StoreAge returns how long ago the store last answered a host that this one
	// hears on the configuration; ok is false if it never did.
	StoreAge func() (d time.Duration, ok bool)
	// Tokens hold the rates of client accounts.
	Tokens *tokens.Tokens
	// Placement chooses backend servers.
	Placement *placement.Placement
	// Permit asks whether one more request may be sent to a backend server now, and if
	// not, in which time it may; nil permits all.
	Permit func(ctx context.Context, b backend.Backend) (again time.Duration, ok bool)
	// Load reads a backend server's report on itself out of an answer.
	Load func(h http.Header) (running, waiting int, ok bool)
	// Dispatch sends a request and passes the answer on.
	Dispatch func(ctx context.Context, r *request.Request, w http.ResponseWriter) outcome.Outcome
	// Latency takes the time of each answered request.
	Latency *latency.Latency
	// Counted is told how each request ended.
	Counted func(o string)

	split split.Split
	usual atomic.Uint64 // requests that were answered or whose caller left
}

// Serve runs r, of which the caller has said what it is, and which it is sent
// with key and path. The outcome says why nothing was written to w, unless it
// is Answered.
func (g *Gateway) Serve(ctx context.Context, r *request.Request, path, key string, w http.ResponseWriter) outcome.Outcome {
	n := g.Clock.Now()
	b := g.Book()
	if b == nil {
		return refuse(outcome.Leaving, "no configuration is known yet", retryAfter)
	}
	i, o := g.admit(ctx, b, r, path, key)
	// An answer that breaks off after its head ends in a panic, which cuts the
	// caller's connection; it is told all the same.
	defer func() {
		if o.Outcome == "" {
			o = outcome.Outcome{Outcome: outcome.Broken, Ran: outcome.RanYes, Message: "the answer broke off after its head"}
		}
		g.tell(b, r, i, o, g.Clock.Since(n))
	}()
	if o.Outcome == "" {
		o = g.run(ctx, r, w)
	}
	return o
}

// admit finds the route and the client account of r and takes its token.
func (g *Gateway) admit(ctx context.Context, b *ingressbook.Ingressbook, r *request.Request, path, key string) (*ingress.Ingress, outcome.Outcome) {
	i := b.Route(r.Host, path)
	if i == nil {
		g.decided(b, r)
		return nil, refuse(outcome.NoRoute, "no route has this path", 0)
	}
	var a *account.Account
	if !i.Public && b.Keyed() {
		a = b.Account(key)
		if a == nil {
			return i, g.unknown(b, r, key)
		}
		r.Account = a.Name
		r.Credential = credential.Credential{Account: a.Name, Hash: credential.Hash(key)}
	}
	g.describe(b, r, i, a)
	if a != nil {
		n, d, ok := g.Tokens.Take(ctx, a.Name, r.Patience)
		if !ok {
			r.Trail.Add(g.Clock.Now(), "request over its rate", "Account", a.Name, "Tokens", n, "Rate", a.Rate, "Version", b.Config.Version)
			return i, refuse(outcome.OverRate, "the account's rate is used up", d)
		}
		r.Trail.Add(g.Clock.Now(), "request admitted", "Route", i.Name, "Account", a.Name, "Tokens", n, "Version", b.Config.Version)
	}
	return i, outcome.Outcome{}
}

// unknown refuses a request whose key no client account holds.
func (g *Gateway) unknown(b *ingressbook.Ingressbook, r *request.Request, key string) outcome.Outcome {
	if key == "" {
		g.decided(b, r)
		return refuse(outcome.KeyUnknown, "the request has no key", 0)
	}
	g.decided(b, r, withdrawn(b, credential.Hash(key))...)
	return refuse(outcome.KeyUnknown, "the key is not known", 0)
}

// decided notes the state of the configuration that refuses r.
func (g *Gateway) decided(b *ingressbook.Ingressbook, r *request.Request, fields ...any) {
	n := g.Clock.Now()
	var a any = "never"
	if d, ok := g.StoreAge(); ok {
		a = d
	}
	if r.Trail == nil {
		r.Trail = new(trail.Trail)
	}
	r.Trail.Add(n, "request refused by the configuration",
		append([]any{"Version", b.Config.Version, "ConfigAge", n.Sub(b.Since), "StoreAge", a}, fields...)...)
}

// withdrawn returns the log fields that tell whether a key was withdrawn.
func withdrawn(b *ingressbook.Ingressbook, hash string) []any {
	v, ok := b.Withdrawn(hash)
	if !ok {
		return []any{"Withdrawn", false}
	}
	return []any{"Withdrawn", true, "WithdrawnBy", v}
}

// describe puts on r what the route and the account say of it.
func (g *Gateway) describe(b *ingressbook.Ingressbook, r *request.Request, i *ingress.Ingress, a *account.Account) {
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
	r.Patience = i.Objective / patienceParts
	r.Tried = new(tried.Tried)
	r.Trail = new(trail.Trail)
	r.Priority = i.Priority
	h := i.Homes
	var o []string
	if a != nil {
		o = a.Homes
		if a.Ranked {
			r.Priority = a.Priority
		}
	}
	if len(h)+len(o) > 0 {
		r.Homes = func(v string) bool { return allows(h, v) && allows(o, v) }
	}
	if !i.Sticky {
		r.Object = ""
	}
}

// run serves r until its deadline.
func (g *Gateway) run(ctx context.Context, r *request.Request, w http.ResponseWriter) outcome.Outcome {
	d := r.Deadline.Sub(g.Clock.Now())
	if d <= 0 {
		return refuse(outcome.DeadlineExceeded, "the time ran out before the request was sent", 0)
	}
	x, f := deadline.With(ctx, g.Clock, d)
	defer f()
	g.Placement.Count(r)
	o := g.Dispatch(x, r, w)
	if o.Outcome == outcome.KeyUnknown {
		b := g.Book()
		g.decided(b, r, withdrawn(b, r.Credential.Hash)...)
	}
	if o.Ran == outcome.RanNo && r.Account != "" {
		g.Tokens.Return(r.Account)
	}
	return o
}

// Place waits for a slot of a backend server for r, as long as its patience
// lasts.
func (g *Gateway) Place(ctx context.Context, r *request.Request) (slot.Slot, outcome.Outcome) {
	u := r.Admitted.Add(r.Patience)
	n := 0 // questions for a permit that were in vain
	for {
		c := g.Placement.Freed()
		b, ok, m := g.Placement.Take(r)
		if ok && g.permitted(ctx, r, b) {
			return g.slot(r, b), outcome.Outcome{}
		}
		if ok {
			n++
		}
		d := u.Sub(g.Clock.Now())
		switch {
		case ok && ctx.Err() != nil:
			return slot.Slot{}, refuse(outcome.Left, "the caller left", 0)
		case ok && (d > 0 || n < permitTries):
			continue // there may be a permit for another backend server
		case !m || d <= 0:
			r.Trail.Add(g.Clock.Now(), "request not placed", "Service", r.Service.Name, "Usable", m, "Patience", r.Patience, "Priority", r.Priority)
			return slot.Slot{}, refuse(outcome.NoCapacity, "no backend server has room", g.comeBack(r, m))
		}
		select {
		case <-c:
		case <-g.Clock.After(d):
		case <-ctx.Done():
			return slot.Slot{}, refuse(outcome.Left, "the caller left", 0)
		}
	}
}

// permitted reports whether r may be sent to the backend server that was taken for it. If
// not, r no longer counts there.
func (g *Gateway) permitted(ctx context.Context, r *request.Request, b backend.Backend) bool {
	if g.Permit == nil {
		return true
	}
	d, ok := g.Permit(ctx, b)
	if !ok {
		r.Trail.Add(g.Clock.Now(), "no permit", "Backend", b.Name, "Again", d)
		g.Placement.Deny(b.Name, r, d)
	}
	return ok
}

// comeBack returns when a request that found no place may come back: if no backend
// server could be used at all, not before one may get a request again.
func (g *Gateway) comeBack(r *request.Request, usable bool) time.Duration {
	if usable {
		return retryAfter
	}
	return max(retryAfter, g.Placement.Again(r))
}

// slot makes the slot of a request on a backend server.
func (g *Gateway) slot(r *request.Request, b backend.Backend) slot.Slot {
	r.Tried.Add(b.Name)
	return slot.Slot{
		Backend: b,
		Answered: func(status int, h http.Header) {
			n, m, ok := g.Load(h)
			if ok {
				g.Placement.Report(b.Name, n, m)
			}
			r.Trail.Add(g.Clock.Now(), "backend server answered", "Backend", b.Name, "Status", status, "Running", n, "Waiting", m)
		},
		Release: releaseOnce(func(v result.Result) {
			g.Placement.Release(b.Name, r, v)
			r.Trail.Add(g.Clock.Now(), "backend server released", "Backend", b.Name, "Result", v)
		}),
	}
}

// Valid reports whether a key that a request came with still works.
func (g *Gateway) Valid(c credential.Credential) bool {
	return c.Hash == "" || g.Book().Holds(c.Hash)
}

func releaseOnce(f func(result.Result)) func(result.Result) {
	var o sync.Once
	return func(r result.Result) { o.Do(func() { f(r) }) }
}

// tell logs the end of a request.
func (g *Gateway) tell(b *ingressbook.Ingressbook, r *request.Request, i *ingress.Ingress, o outcome.Outcome, d time.Duration) {
	g.Counted(o.Outcome)
	if o.Outcome == outcome.Answered {
		g.Latency.Observe(r.Route, d)
	}
	if (o.Outcome == outcome.Answered || o.Outcome == outcome.Left) && g.usual.Add(1)%sampled != 0 {
		return
	}
	n := ""
	if i != nil {
		n = i.Name
	}
	r.Trail.Write(g.Log, r.ID, g.Clock.Now())
	g.Log.Info("request ended", "Request", r.ID, "Route", n, "Account", r.Account, "Service", r.Service.Name,
		"Outcome", o.Outcome, "Ran", o.Ran, "Cause", o.Message, "RetryAfter", o.RetryAfter,
		"Backends", r.Tried.Names(), "Took", d, "Version", b.Config.Version)
}

func refuse(o, m string, d time.Duration) outcome.Outcome {
	return outcome.Outcome{Outcome: o, Ran: outcome.RanNo, Message: m, RetryAfter: d}
}

func allows(homes []string, region string) bool {
	if len(homes) == 0 {
		return true
	}
	for _, h := range homes {
		if h == region {
			return true
		}
	}
	return false
}
