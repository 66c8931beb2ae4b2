package host

import (
	"context"
	"net/http"
	"slices"
	"time"

	"celeryreach.example/celeryreach/burncounter"
	"celeryreach.example/celeryreach/countstore"
	"celeryreach.example/celeryreach/hostcounts"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/request"

	"celeryreach.example/celeryreach/load"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/operatorapi"
	"celeryreach.example/celeryreach/status"
	"celeryreach.example/celeryreach/validate"
)

const (
	// hostListTimeout bounds the read of the host list, so that the status is
	// available quickly while the platform is down.
	hostListTimeout = 500 * time.Millisecond
	// storeCountsInterval is explained in docs/decisions/0052-burn.md.
	storeCountsInterval = 5 * time.Minute
	historyInterval     = 200 * time.Millisecond
)

// closeConnections closes the host's outgoing connections when ctx ends. The
// supervisor ends ctx after the components that serve requests and exchange
// heartbeats have stopped.
func (x *components) closeConnections(ctx context.Context) error {
	<-ctx.Done()
	x.peerClient.Close()
	x.dispatch.Upstream.Close()
	return nil
}

// operatorHandler returns the handler of the operator address.
func (x *components) operatorHandler() http.Handler {
	return &operatorapi.Operatorapi{
		Log: x.host.Log, Snapshot: x.configFollower.Snapshot, History: &x.history,
		ConfigCommit: x.newConfigCommit(), Validate: validate.Config, Status: x.status, Counts: x.burnCounter.Counts, StoredCounts: x.storedCounts, ExplainLookup: x.explainLookup,
	}
}

// newBurnCounter creates the components that count requests for the burn report.
func (x *components) newBurnCounter() {
	x.burnCounter = &burncounter.Burncounter{Clock: x.host.Clock, Self: x.self(), Latency: x.latencyObjective, SlotLoads: x.serviceQueues.Loads}
	x.countStore = &countstore.Countstore{Clock: x.host.Clock, Log: x.host.Log, Store: x.host.Store, Interval: storeCountsInterval, Counts: x.burnCounter.Counts}
}

// latencyObjective returns the latency objective of a service, zero if there is
// none.
func (x *components) latencyObjective(service string) time.Duration {
	s := x.configFollower.Snapshot()
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

func (x *components) recordOutcome(r *request.Request, o outcome.Outcome, d time.Duration) {
	x.host.Counter.Add(o.Outcome)
	x.burnCounter.Record(r.Credential.Account, r.Service.Name, o, d)
}

func (x *components) recordDrain(name, sign string, d time.Duration) {
	x.host.Log.Info("backend server drained", "Backend", name, "Sign", sign, "Took", d)
	x.burnCounter.RecordDrain(name, d)
}

// storedCounts returns the stored counts of processes that this host receives
// no heartbeats from.
func (x *components) storedCounts(ctx context.Context) ([]hostcounts.Hostcounts, error) {
	h := x.hosts()
	return x.countStore.Load(ctx, func(host string, incarnation uint64) bool {
		return slices.ContainsFunc(h, func(m member.Member) bool { return m.Name == host && m.Incarnation == incarnation })
	})
}

// recordHistory adds the configurations in force to the history, and publishes
// the gauges. A version that is in force for less than historyInterval may be
// missed. The history does not need such a version, because no operator bases a
// change on it.
func (x *components) recordHistory(ctx context.Context) error {
	for ctx.Err() == nil {
		if s := x.configFollower.Snapshot(); s != nil {
			x.history.Add(s.Config)
		}
		x.publishGauges()
		select {
		case <-ctx.Done():
		case <-x.host.Clock.After(historyInterval):
		}
	}
	return nil
}

func (x *components) status(ctx context.Context) status.Status {
	s := status.Status{Host: x.self(), Peers: x.membership.Alive()}
	if c := x.configFollower.Snapshot(); c != nil {
		s.ConfigVersion = c.Config.Version
		s.ConfigHash = c.Hash
		s.Preset = c.Config.Preset
		s.InForce = x.rollout(c.Config.Version)
	}
	for _, l := range x.serviceQueues.Loads() {
		s.Loads = append(s.Loads, load.Load{Service: l.Service, Slots: int(l.Slots), Busy: int(l.Busy), Waiting: int(l.Waiting)})
	}
	s.Shares = x.rateShares()
	s.SlotsLent, s.SlotsBorrowed = x.localDomain.loan.Slots()
	s.DivisionEpoch = x.limits.entitlement.Epoch()
	if p := x.steering.plans.Plan(); p != nil {
		s.PlanVersion = p.Version
		s.PlanReason = p.Reason
	}
	x.addMissingHosts(ctx, &s)
	return s
}

// addMissingHosts adds to the status the hosts that may be serving but are not among
// the live peers. The platform's list alone is not enough: it may be unavailable, and
// a host that is cut off from the platform drops out of it.
func (x *components) addMissingHosts(ctx context.Context, s *status.Status) {
	l, f := context.WithTimeout(ctx, hostListTimeout)
	defer f()
	m, err := x.host.Store.Hosts(l)
	if err != nil {
		s.Unlisted = err.Error()
	}
	d := map[string]bool{s.Host.Name: true}
	for _, p := range s.Peers {
		d[p.Name] = true
	}
	for _, v := range slices.Concat(m, x.membership.Hosts()) {
		if !d[v.Name] {
			d[v.Name] = true
			s.Missing = append(s.Missing, v)
		}
	}
}
