package edge

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"celeryreach.example/celeryreach/attempted"
	"celeryreach.example/celeryreach/credential"
	"celeryreach.example/celeryreach/deadline"
	"celeryreach.example/celeryreach/forward"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/receive"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/streampool"
	"celeryreach.example/celeryreach/wire"
)

const (
	// streamIdleTimeout is how long a connection to another host is kept between two
	// forwarded requests.
	streamIdleTimeout = 5 * time.Second
	streamsPerHost    = 16
	maxStreamDials    = 32
	maxForwards       = 1000
	// forwardRetryDelay is the delay after which a request that no host takes may be sent
	// again: links and reports change within about that time.
	forwardRetryDelay = 500 * time.Millisecond
)

// setUpForwarding sets up both sides of forwarding: a host that doesn't reach the backend
// servers of a request sends it through one that does.
func (e *Edge) setUpForwarding() {
	e.streams = &streampool.Streampool{
		Clock: e.Clock, Dial: e.client.Dial, Idle: streamIdleTimeout, PerAddress: streamsPerHost, MaxDials: maxStreamDials,
	}
	e.forward = &forward.Forward{
		Clock: e.Clock, Region: e.Self.Region, Version: e.configVersion, Targets: e.forwardTargets, MaySend: e.mayForward, MayRepeat: e.mayRepeat, Complete: e.completeForward,
		ReserveLink: func(string, int64) (func(int64), time.Duration, bool) { return func(int64) {}, 0, true },
		Open:        e.streams.Open, Limit: maxForwards, MayStart: e.shutdown.Allows,
	}
	e.receive = &receive.Receive{Clock: e.Clock, Resolve: e.resolveForwarded, Admit: e.admitForwarded, Serve: e.Gateway.ServeForwarded}
}

func (e *Edge) configVersion() uint64 {
	if b := e.index.Load(); b != nil {
		return b.Config.Version
	}
	return 0
}

// forwardTargets returns the hosts through which r may be sent. A request with homes leaves
// its body in these regions only.
func (e *Edge) forwardTargets(r *request.Request) []member.Member {
	e.Gateway.HoldToHomes(r)
	return e.forwardHosts.Targets(r.Homes)
}

// mayForward reports whether r may be sent to another host now.
func (e *Edge) mayForward(r *request.Request, m member.Member) bool {
	e.Gateway.HoldToHomes(r)
	return r.Homes.Allows(m.Region)
}

// forwardRequest sends r through another host, and returns how many of its attempts were used.
func (e *Edge) forwardRequest(ctx context.Context, r *request.Request, w http.ResponseWriter) (outcome.Outcome, int) {
	o, n := e.forward.Serve(ctx, r, w)
	if o.Ran == outcome.RanNo && o.Outcome == outcome.NoCapacity {
		o.RetryAfter = max(o.RetryAfter, e.placement.RetryAfter(r))
	}
	return o, n
}

// completeForward adds to the message of a forwarded request what this host decided on it,
// since the configuration of the other host may differ.
func (e *Edge) completeForward(m *wire.Request, r *request.Request) {
	m.PlacedBySender = true
	m.Host, m.Route, m.Object, m.NonIdempotent = r.Host, r.Route, r.Object, r.NonIdempotent
	m.Priority, m.Attempts = int32(r.Priority), int32(r.Attempts) //nolint:gosec // small numbers of the configuration
	m.MaxWaitNanoseconds = int64(r.MaxWait)
	m.AttemptedBackends = r.AttemptedBackends.SentNames()
	stateHomes(m, r)
	r.DecisionLog.Add(e.Clock.Now(), "request sent to another host", "Regions", m.Regions, "Homes", r.Homes, "HomesVersion", r.HomesVersion)
}

// resolveForwarded sets the fields of a request that another host has admitted.
func (e *Edge) resolveForwarded(m *wire.Request, r *request.Request) outcome.Outcome {
	b := e.index.Load()
	if b == nil || !m.GetPlacedBySender() {
		return refuseForwarded(outcome.NoCapacity, "the host can't take forwarded requests")
	}
	if h := m.GetKeyId(); h != "" && !b.HasKey(h) {
		if b.Config.Version < m.GetConfigVersion() {
			return refuseForwarded(outcome.NoCapacity, "the host has an older configuration")
		}
		return refuseForwarded(outcome.KeyUnknown, "the key was withdrawn")
	}
	s := b.Service(m.GetService())
	if s == nil {
		return refuseForwarded(outcome.NoCapacity, "the service is not configured on the receiving host")
	}
	r.Service = *s
	r.Account, r.Credential = m.GetAccount(), credential.Credential{Account: m.GetAccount(), Hash: m.GetKeyId()}
	u, err := url.ParseRequestURI(m.GetTarget())
	if err != nil {
		return refuseForwarded(outcome.NoCapacity, "the path of the request can't be read")
	}
	r.Path = u.EscapedPath()
	r.Host, r.Route, r.Object, r.NonIdempotent = m.GetHost(), m.GetRoute(), m.GetObject(), m.GetNonIdempotent()
	r.Priority, r.Attempts, r.MaxWait = int(m.GetPriority()), int(m.GetAttempts()), time.Duration(m.GetMaxWaitNanoseconds())
	r.AttemptedBackends = new(attempted.Attempted)
	for _, n := range m.GetAttemptedBackends() {
		r.AttemptedBackends.Add(n)
	}
	h, ok := statedHomes(m, r, b)
	if !ok {
		return refuseForwarded(outcome.NoCapacity, "the request states no homes")
	}
	r.Homes, r.HomesVersion = h, m.GetHomesVersion()
	return outcome.Outcome{}
}

// admitForwarded counts a forwarded request until it ends. Placement decides whether a
// backend server has room for it.
func (e *Edge) admitForwarded(r *request.Request, _ string) (func(outcome.Outcome, int64), outcome.Outcome) {
	if e.IsLeaving() {
		return nil, refuseForwarded(outcome.Leaving, "the host is shutting down")
	}
	e.Gateway.HoldToHomes(r)
	if !r.Homes.Allows(e.Self.Region) {
		return nil, refuseForwarded(outcome.NoCapacity, "the host stands outside the request's homes")
	}
	d := e.forwardedInFlight.Begin()
	return func(outcome.Outcome, int64) { d() }, outcome.Outcome{}
}

// drainForwarded waits at the end of the host for the requests that others forwarded.
func (e *Edge) drainForwarded(ctx context.Context) error {
	<-ctx.Done()
	x, f := deadline.With(context.WithoutCancel(ctx), e.Clock, e.Clock.Until(e.StopBy()))
	defer f()
	n := e.forwardedInFlight.Wait(x)
	e.Log.Info("forwarded requests ended", "Host", e.Self.Name, "Cut", n)
	return nil
}

func refuseForwarded(o, m string) outcome.Outcome {
	return outcome.Outcome{Outcome: o, Ran: outcome.RanNo, Message: m, RetryAfter: forwardRetryDelay}
}
