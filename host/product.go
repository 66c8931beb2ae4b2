package host

import (
	"context"
	"net/http"
	"slices"
	"time"

	"celeryreach.example/celeryreach/burn"
	"celeryreach.example/celeryreach/keep"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/sums"

	"celeryreach.example/celeryreach/load"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/operator"
	"celeryreach.example/celeryreach/status"
	"celeryreach.example/celeryreach/validate"
)

const (
	// listTimeout keeps the state quick to read while the platform is down.
	listTimeout = 500 * time.Millisecond
	// keepEvery is weighed in docs/decisions/0052-burn.md.
	keepEvery    = 5 * time.Minute
	historyEvery = 200 * time.Millisecond
)

// connections closes the host's own connections last, when no part uses them
// any more.
func (x *parts) connections(ctx context.Context) error {
	<-ctx.Done()
	x.peerclient.Close()
	x.dispatch.Upstream.Close()
	return nil
}

// operators is the handler of the operator address.
func (x *parts) operators() http.Handler {
	return &operator.Operator{
		Log: x.host.Log, Snapshot: x.follower.Snapshot, History: &x.history,
		Change: x.newChange(), Check: validate.Config, Status: x.status, Sums: x.burn.Sums, Kept: x.kept, Why: x.why,
	}
}

// newBurn makes the parts that count for the burn report.
func (x *parts) newBurn() {
	x.burn = &burn.Burn{Clock: x.host.Clock, Self: x.self(), Latency: x.promised, Loads: x.lanes.Loads}
	x.keep = &keep.Keep{Clock: x.host.Clock, Log: x.host.Log, Platform: x.host.Platform, Every: keepEvery, Sums: x.burn.Sums}
}

// promised returns the objective's latency of a service.
func (x *parts) promised(service string) time.Duration {
	s := x.follower.Snapshot()
	if s == nil {
		return 0
	}
	for _, o := range s.Config.Objectives {
		if o.Service == service {
			return o.Latency
		}
	}
	return 0
}

func (x *parts) done(r *request.Request, o outcome.Outcome, d time.Duration) {
	x.host.Counter.Add(o.Outcome)
	x.burn.Record(r.Credential.Account, r.Service.Name, o, d)
}

func (x *parts) drained(name, sign string, d time.Duration) {
	x.host.Log.Info("backend server drained", "Backend", name, "Sign", sign, "Took", d)
	x.burn.Drained(name, d)
}

// kept returns the counts of processes that this host does not hear.
func (x *parts) kept(ctx context.Context) ([]sums.Sums, error) {
	h := x.hosts()
	return x.keep.Kept(ctx, func(host string, incarnation uint64) bool {
		return slices.ContainsFunc(h, func(m member.Member) bool { return m.Name == host && m.Incarnation == incarnation })
	})
}

// remember feeds the history. A version that is in force for less than the
// interval is missed, and nobody has made a change from it either.
func (x *parts) remember(ctx context.Context) error {
	for ctx.Err() == nil {
		if s := x.follower.Snapshot(); s != nil {
			x.history.Add(s.Config)
		}
		x.measure()
		select {
		case <-ctx.Done():
		case <-x.host.Clock.After(historyEvery):
		}
	}
	return nil
}

func (x *parts) status(ctx context.Context) status.Status {
	s := status.Status{Host: x.self(), Peers: x.membership.Alive()}
	if c := x.follower.Snapshot(); c != nil {
		s.ConfigVersion = c.Config.Version
		s.ConfigHash = c.Hash
		s.Preset = c.Config.Preset
		s.InForce = x.inForce(c.Config.Version)
	}
	for _, l := range x.lanes.Loads() {
		s.Loads = append(s.Loads, load.Load{Service: l.Service, Slots: int(l.Slots), Busy: int(l.Busy), Waiting: int(l.Waiting)})
	}
	s.Shares = x.shares()
	s.SlotsLent, s.SlotsBorrowed = x.site.loan.Slots()
	s.DivisionEpoch = x.limits.holding.Epoch()
	if p := x.steering.plans.Plan(); p != nil {
		s.PlanVersion = p.Version
		s.PlanReason = p.Reason
	}
	x.list(ctx, &s)
	return s
}

// list adds what the platform's list tells.
func (x *parts) list(ctx context.Context, s *status.Status) {
	l, f := context.WithTimeout(ctx, listTimeout)
	defer f()
	m, err := x.host.Platform.Hosts(l)
	if err != nil {
		s.Unlisted = err.Error()
	}
	for _, v := range m {
		if v.Name != s.Host.Name && !slices.ContainsFunc(s.Peers, func(p member.Member) bool { return p.Name == v.Name }) {
			s.Missing = append(s.Missing, v)
		}
	}
}
