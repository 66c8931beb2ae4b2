package host

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"celeryreach.example/celeryreach/budget"
	"celeryreach.example/celeryreach/deadline"
	"celeryreach.example/celeryreach/dispatch"
	"celeryreach.example/celeryreach/entry"
	"celeryreach.example/celeryreach/expiry"
	"celeryreach.example/celeryreach/group"
	"celeryreach.example/celeryreach/hedge"
	"celeryreach.example/celeryreach/idempotency"
	"celeryreach.example/celeryreach/inflight"
	"celeryreach.example/celeryreach/mint"
	"celeryreach.example/celeryreach/once"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/ticket"
	"celeryreach.example/celeryreach/upstream"
	"celeryreach.example/celeryreach/whole"
)

const (
	// storeTimeout is how long a non-idempotent request waits for the store
	// before it is refused; the store may be a region away.
	storeTimeout = time.Second
	// commitGap lets a host make at most 40 commits a second before requests
	// leave, and 10 after they ended: 550 from 11 hosts at the very worst.
	commitGap   = 25 * time.Millisecond
	commitLimit = 64
	// retention is how long callers may repeat a request under its id.
	retention = 24 * time.Hour

	ticketLifetime = 10 * time.Minute
	ticketBytes    = 32 << 20
	ticketLimit    = 100_000

	hedgeInitial = 250 * time.Millisecond
	hedgeLeast   = 20 * time.Millisecond
	hedgeMost    = time.Second

	heldBytes = 64 << 10
	// leaveNotice is how long a leaving host still takes requests, in
	// heartbeats: by then every peer that it can reach has heard of it.
	leaveNotice = 3
)

// requests are the parts on the path of a request.
type requests struct {
	idempotency *idempotency.Idempotency
	expiry      *expiry.Expiry
	tickets     *ticket.Ticket
	inflight    inflight.Inflight
	closed      atomic.Bool
}

func (x *parts) newRequests() {
	h := x.host
	q := &x.requests
	q.idempotency = &idempotency.Idempotency{
		Clock: h.Clock, Platform: h.Platform, Host: h.Settings.Name, Incarnation: h.Incarnation,
		Group: &group.Group{Clock: h.Clock, Commit: h.Platform.Commit, Gap: commitGap, Limit: commitLimit, Timeout: storeTimeout},
		Alive: x.alive, Timeout: storeTimeout, Index: expiry.Index,
	}
	q.expiry = &expiry.Expiry{Clock: h.Clock, Log: h.Log, Platform: h.Platform, Retention: retention, Sweeps: x.sweeps}
	q.tickets = &ticket.Ticket{
		Clock: h.Clock, Host: h.Settings.Name, Incarnation: h.Incarnation, Find: x.find,
		Lifetime: ticketLifetime, Bytes: ticketBytes, Limit: ticketLimit,
	}
	x.dispatch = &dispatch.Dispatch{
		Clock: h.Clock, Queue: x.lanes.Queue, Valid: x.admission.Valid, Confirm: x.confirm, Upstream: upstream.New(h.Clock, dialTimeout),
		Timeout: func() time.Duration { return x.follower.Snapshot().Preset.MaxWait },
		Budget:  &budget.Budget{Ratio: func() float64 { return x.follower.Snapshot().Preset.RetryBudget }},
		Hedge:   &hedge.Hedge{Initial: hedgeInitial, Least: hedgeLeast, Most: hedgeMost},
		Whole:   &whole.Whole{Clock: h.Clock, Limit: heldBytes},
	}
}

// callers is the handler of the caller address.
func (x *parts) callers() http.Handler {
	q := &x.requests
	o := &once.Once{Begin: q.idempotency.Begin, End: q.idempotency.End, Tickets: q.tickets}
	e := &entry.Entry{
		Clock: x.host.Clock, Log: x.host.Log, Snapshot: x.follower.Snapshot, Admission: x.admission,
		Quota: x.quota, Local: x.local, Forward: x.forward.Serve, EntryHosts: x.entryHosts, Done: x.done,
		Once: o.Serve, Leaving: x.leaving.Load, Closed: q.closed.Load,
	}
	m := http.NewServeMux()
	m.Handle("GET /lookup", x.lookup)
	m.Handle("GET /tickets", &mint.Mint{Admission: x.admission, Ticket: q.tickets, EntryHost: x.host.Settings.CallerAddress})
	m.Handle("/", x.counted(x.mark(e)))
	return x.gate(m)
}

// counted counts the requests that a graceful shutdown waits for.
func (x *parts) counted(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer x.requests.inflight.Begin()()
		h.ServeHTTP(w, r)
	})
}

// serveForwarded runs a request of another failure domain.
func (x *parts) serveForwarded(ctx context.Context, r *request.Request, w http.ResponseWriter) outcome.Outcome {
	defer x.requests.inflight.Begin()()
	if x.requests.closed.Load() {
		return outcome.Outcome{Outcome: outcome.NoCapacity, Ran: outcome.RanNo, Message: "the host is shutting down"}
	}
	return x.serve(ctx, r, w)
}

// leave prepares the end of the host. First it only tells everybody, and still
// serves those who have not heard; then it refuses what is new and waits for
// what it has begun.
func (x *parts) leave(ctx context.Context) {
	h := x.host
	x.leaving.Store(true)
	h.Log.Info("host leaves", "Host", h.Settings.Name, "DrainTimeout", h.Settings.DrainTimeout, "Note", "a second signal ends at once")
	d := make(chan struct{})
	n := leaveNotice * h.Settings.Heartbeat
	go x.sayLeaving(ctx, n, d)
	h.Clock.Sleep(n)
	<-d
	x.requests.closed.Store(true)
	y, f := deadline.With(ctx, h.Clock, h.Settings.DrainTimeout)
	defer f()
	c := x.requests.inflight.Wait(y)
	h.cut.Store(int64(c))
	h.Log.Info("host drained", "Host", h.Settings.Name, "Cut", c)
}

// sayLeaving marks the host on the platform's list at once; peers hear it with
// the next heartbeat.
func (x *parts) sayLeaving(ctx context.Context, t time.Duration, done chan<- struct{}) {
	defer close(done)
	y, f := deadline.With(ctx, x.host.Clock, t)
	defer f()
	if err := x.host.Platform.Announce(y, x.self()); err != nil {
		x.host.Log.Warn("leaving not announced", "Host", x.host.Settings.Name, "Error", err)
	}
}

// alive reports whether a process is among the peers that are heard.
func (x *parts) alive(name string, incarnation uint64) bool {
	_, ok := x.find(name, incarnation)
	return ok
}

// find returns the caller address of a peer process that is heard.
func (x *parts) find(name string, incarnation uint64) (string, bool) {
	for _, m := range x.membership.Alive() {
		if m.Name == name && m.Incarnation == incarnation {
			return m.CallerAddress, true
		}
	}
	return "", false
}

// sweeps reports whether this host has the first name of all that are heard.
func (x *parts) sweeps() bool {
	for _, m := range x.membership.Alive() {
		if m.Name < x.host.Settings.Name {
			return false
		}
	}
	return true
}
