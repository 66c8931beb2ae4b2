package host

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"celeryreach.example/celeryreach/commitbatch"
	"celeryreach.example/celeryreach/deadline"
	"celeryreach.example/celeryreach/dedup"
	"celeryreach.example/celeryreach/dispatch"
	"celeryreach.example/celeryreach/entry"
	"celeryreach.example/celeryreach/expiry"
	"celeryreach.example/celeryreach/hedge"
	"celeryreach.example/celeryreach/idempotency"
	"celeryreach.example/celeryreach/inflight"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/responsecopier"
	"celeryreach.example/celeryreach/retrybudget"
	"celeryreach.example/celeryreach/shutdown"
	"celeryreach.example/celeryreach/ticketendpoint"
	"celeryreach.example/celeryreach/ticketstore"
	"celeryreach.example/celeryreach/upstream"
)

const (
	// storeTimeout is how long a non-idempotent request waits for the store,
	// which may be in another region, before the request is refused.
	storeTimeout = time.Second
	// minCommitInterval limits a host to 40 commits per second that permit
	// requests to run. The records of ended requests, which package idempotency
	// writes, add at most 10 commits per second. In the worst case, 11 hosts
	// make 550 commits per second.
	minCommitInterval = 25 * time.Millisecond
	maxCommitBatch    = 64
	// retention is how long callers may repeat a request with the same
	// idempotency ID.
	retention = 24 * time.Hour

	ticketLifetime = 10 * time.Minute
	maxTicketBytes = 32 << 20
	maxTickets     = 50_000

	initialHedgeDelay = 250 * time.Millisecond
	minHedgeDelay     = 20 * time.Millisecond
	maxHedgeDelay     = time.Second

	maxHeldBytes    = 64 << 10
	slowReadTimeout = 10 * time.Second
	// leaveNoticeHeartbeats is how long a host that is shutting down still
	// accepts requests, in heartbeat intervals. After that time, every
	// reachable peer has received a heartbeat that marks the host as leaving.
	leaveNoticeHeartbeats = 3
)

// requests holds the components that process requests.
type requests struct {
	idempotency *idempotency.Idempotency
	expiry      *expiry.Expiry
	tickets     *ticketstore.Ticketstore
	inflight    inflight.Inflight
	shutdown    shutdown.Shutdown
	closed      atomic.Bool
}

func (x *components) newRequests() {
	h := x.host
	q := &x.requests
	q.shutdown.Clock = h.Clock
	q.idempotency = &idempotency.Idempotency{
		Clock: h.Clock, Store: h.Store, Host: h.Settings.Name, Incarnation: h.Incarnation,
		CommitBatch: &commitbatch.Commitbatch{Clock: h.Clock, Commit: h.Store.Commit, MinInterval: minCommitInterval, MaxRows: maxCommitBatch, Timeout: storeTimeout},
		IsAlive:     x.isProcessAlive, Timeout: storeTimeout, IndexRows: expiry.IndexRows,
	}
	q.expiry = &expiry.Expiry{Clock: h.Clock, Log: h.Log, Store: h.Store, Retention: retention, IsSweeper: x.runsExpirySweep}
	q.tickets = &ticketstore.Ticketstore{
		Clock: h.Clock, Host: h.Settings.Name, Incarnation: h.Incarnation, HostAddress: x.processCallerAddress,
		Lifetime: ticketLifetime, MaxAnswerBytes: maxTicketBytes, MaxUsed: maxTickets,
	}
	u := upstream.New(h.Clock, dialTimeout)
	u.MayRepeat = func(r *request.Request) bool { return q.shutdown.Allows(r.Deadline) }
	x.dispatch = &dispatch.Dispatch{
		Clock: h.Clock, Queue: x.serviceQueues.Queue, IsKeyValid: x.authenticator.Valid, ConfirmToken: x.confirmToken, Upstream: u,
		MayStart:       q.shutdown.Allows,
		Timeout:        func() time.Duration { return x.configFollower.Snapshot().Preset.MaxWait },
		Budget:         &retrybudget.Retrybudget{Ratio: func() float64 { return x.configFollower.Snapshot().Preset.RetryBudget }},
		Hedge:          &hedge.Hedge{Initial: initialHedgeDelay, Min: minHedgeDelay, Max: maxHedgeDelay},
		ResponseCopier: &responsecopier.Responsecopier{Clock: h.Clock, BufferLimit: maxHeldBytes, WriteTimeout: slowReadTimeout},
	}
}

// callerHandler returns the handler of the caller address.
func (x *components) callerHandler() http.Handler {
	q := &x.requests
	o := &dedup.Dedup{Begin: q.idempotency.Begin, End: q.idempotency.End, Tickets: q.tickets}
	e := &entry.Entry{
		Clock: x.host.Clock, Log: x.host.Log, Snapshot: x.configFollower.Snapshot, Authenticator: x.authenticator,
		Quota: x.quota, ServeLocally: x.serveCaller, Forward: x.forwardCaller, EntryHosts: x.entryHosts, OnOutcome: x.recordOutcome,
		RunOnce: o.Serve, RefusesRequests: q.closed.Load, MayStart: q.shutdown.Allows,
	}
	m := http.NewServeMux()
	m.Handle("GET /lookup", x.lookup)
	m.Handle("GET /tickets", &ticketendpoint.Ticketendpoint{Authenticator: x.authenticator, Tickets: q.tickets, EntryHost: x.host.Settings.CallerAddress})
	m.Handle("/", x.countInFlight(x.markRemoteCallers(e)))
	return x.requireReady(m)
}

// countInFlight counts the requests in flight, which shutDown waits for.
func (x *components) countInFlight(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer x.requests.inflight.Begin()()
		h.ServeHTTP(w, r)
	})
}

// serveForwarded runs a request that another failure domain forwarded.
func (x *components) serveForwarded(ctx context.Context, r *request.Request, w http.ResponseWriter) outcome.Outcome {
	if x.requests.closed.Load() {
		return outcome.Outcome{Outcome: outcome.NoCapacity, Ran: outcome.RanNo, Message: "the host is shutting down"}
	}
	return x.serveLocally(ctx, r, w)
}

// shutDown drains the host. It first announces the shutdown and continues to
// serve hosts and callers that have not received the announcement; then it
// refuses new requests and waits for the requests in flight.
func (x *components) shutDown(ctx context.Context) {
	h := x.host
	n := leaveNoticeHeartbeats * h.Settings.Heartbeat
	x.requests.shutdown.Begin(n + h.Settings.DrainTimeout)
	x.leaving.Store(true)
	h.Log.Info("host leaves", "Host", h.Settings.Name, "DrainTimeout", h.Settings.DrainTimeout, "Note", "SIGINT ends at once")
	d := make(chan struct{})
	go x.announceLeaving(ctx, n, d)
	h.Clock.Sleep(n)
	<-d
	x.requests.closed.Store(true)
	y, f := deadline.With(ctx, h.Clock, h.Clock.Until(x.requests.shutdown.By()))
	defer f()
	c := x.requests.inflight.Wait(y)
	h.unfinished.Store(int64(c))
	h.Log.Info("host drained", "Host", h.Settings.Name, "Cut", c)
}

// announceLeaving immediately marks the host as leaving in the platform's host
// list. Peers receive this mark in the host's next heartbeat.
func (x *components) announceLeaving(ctx context.Context, t time.Duration, done chan<- struct{}) {
	defer close(done)
	y, f := deadline.With(ctx, x.host.Clock, t)
	defer f()
	if err := x.host.Store.Announce(y, x.self()); err != nil {
		x.host.Log.Warn("leaving not announced", "Host", x.host.Settings.Name, "Error", err)
	}
}

// isProcessAlive reports whether a process is a live peer.
func (x *components) isProcessAlive(name string, incarnation uint64) bool {
	_, ok := x.processCallerAddress(name, incarnation)
	return ok
}

// processCallerAddress returns the caller address of a live peer process.
func (x *components) processCallerAddress(name string, incarnation uint64) (string, bool) {
	for _, m := range x.membership.Alive() {
		if m.Name == name && m.Incarnation == incarnation {
			return m.CallerAddress, true
		}
	}
	return "", false
}

// runsExpirySweep reports whether this host removes expired records. Only the
// live host whose name sorts first removes them.
func (x *components) runsExpirySweep() bool {
	for _, m := range x.membership.Alive() {
		if m.Name < x.host.Settings.Name {
			return false
		}
	}
	return true
}
