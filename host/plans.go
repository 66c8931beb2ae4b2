package host

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sort"
	"time"

	"celeryreach.example/celeryreach/acceptedversion"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/domain"
	"celeryreach.example/celeryreach/lease"
	"celeryreach.example/celeryreach/lookup"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/observation"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/plan"
	"celeryreach.example/celeryreach/planner"
	"celeryreach.example/celeryreach/preset"
	"celeryreach.example/celeryreach/publish"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/roster"
	"celeryreach.example/celeryreach/wire"
)

const (
	planInterval = time.Second
	plannerKey   = "lease/planner"
	plannerTerm  = 15 * time.Second
	loadWindow   = 10 * time.Second
	// maxMeasurementLag is the maximum age of the measurements that a plan is
	// based on: loadWindow, one heartbeat and one run of
	// updateSteering.
	maxMeasurementLag = loadWindow + 2*time.Second
	// lostAfterHolds is the number of Hold periods after which a region counts
	// as lost if none of its hosts has sent a heartbeat. A silence of a few
	// seconds must not move the region's callers.
	lostAfterHolds = 3
)

func (x *components) newPlanner(s *steering) *planner.Planner {
	h := x.host
	return &planner.Planner{
		Clock: h.Clock, Log: h.Log, Interval: planInterval, MeasurementDelay: maxMeasurementLag, Preset: x.preset,
		Draining: x.drainingRegions, Domains: x.domains, Observe: x.observations, Current: s.plans.Plan,
		FailoverIdle: func() bool { return s.failover.IdleFor(x.preset().ShiftInterval) },
		LeaseEpoch:   s.lease.Held,
		Publish: func(ctx context.Context, from uint64, p *plan.Plan) (bool, error) {
			return x.publishPlan(ctx, from, p)
		},
	}
}

func (x *components) newLease() *lease.Lease {
	h := x.host
	return &lease.Lease{
		Clock: h.Clock, Store: h.Store, Name: plannerKey, Term: plannerTerm,
		Holder: fmt.Sprintf("%s-%d", h.Settings.Name, h.Incarnation),
	}
}

// campaign tries to acquire the planner lease while this host is one of the
// frequent readers of the platform. Each host that tries reads the lease once
// in each quarter of the lease term. If all hosts tried, the platform would
// have to serve thousands of these reads per quarter.
func (x *components) campaign(ctx context.Context) error {
	for ctx.Err() == nil {
		if x.isFrequentReader() {
			x.runLease(ctx)
		}
		select {
		case <-ctx.Done():
		case <-x.host.Clock.After(planInterval):
		}
	}
	return nil
}

// runLease maintains the lease until this host is no longer a frequent reader.
func (x *components) runLease(ctx context.Context) {
	c, f := context.WithCancel(ctx)
	defer f()
	d := make(chan struct{})
	go func() {
		defer close(d)
		_ = x.steering.lease.Run(c) // returns only when c ends
	}()
	for x.isFrequentReader() && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-x.host.Clock.After(planInterval):
		}
	}
	f()
	<-d
}

// publishPlan writes a plan on the condition that this host holds the lease and
// that the previous plan is unchanged. A planner that resumes after a pause
// therefore cannot overwrite a newer plan.
func (x *components) publishPlan(ctx context.Context, from uint64, p *plan.Plan) (bool, error) {
	b, err := codec.Marshal(p)
	if err != nil {
		return false, err
	}
	r := x.steering.plans.Replica()
	w := &publish.Publish{Clock: x.host.Clock, Store: x.host.Store, Key: acceptedversion.PlanKey, Fence: x.steering.lease.Fence}
	a, ok, err := w.Commit(ctx, from, b)
	if err != nil {
		return false, err
	}
	if !ok {
		return false, r.Poll(ctx)
	}
	return true, r.Offer(a.Version, a.Hash, b)
}

func (x *components) newLookup() *lookup.Lookup {
	return &lookup.Lookup{
		Snapshot: x.configFollower.Snapshot, Plan: x.steering.plans.Plan, Hosts: x.roster,
		Block: x.findBlock, DefaultRegion: x.host.Settings.Region, IsRegionLost: x.isRegionLost, LastKnownHosts: x.lastKnownHosts,
		MovedPoints: x.steering.failover.MovedPoints, OnLookup: x.steering.meter.CountLookup, Random: nonZeroRandom,
	}
}

// nonZeroRandom returns a random number greater than 0 and at most 1, so that
// its logarithm is defined.
func nonZeroRandom() float64 {
	return 1 - rand.Float64()
}

// serveLocally runs a request in the local failure domain and records its
// result for the planner.
func (x *components) serveLocally(ctx context.Context, r *request.Request, w http.ResponseWriter) outcome.Outcome {
	t := x.host.Clock.Now()
	o := x.dispatch.Serve(ctx, r, w)
	switch o.Outcome {
	case outcome.Answered:
		x.steering.meter.CountRequest(r.Service.Name, x.host.Clock.Since(t), false)
	case outcome.NoCapacity, outcome.BackendFailed, outcome.OutcomeUnknown:
		x.steering.meter.CountRequest(r.Service.Name, 0, true)
	}
	return o
}

// updateSteering periodically aggregates the loads in heartbeats, updates the
// roster of hosts and the lost regions, and advances failovers.
func (x *components) updateSteering(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-x.host.Clock.After(planInterval):
		}
		s := x.configFollower.Snapshot()
		if s == nil {
			continue
		}
		x.recordOwnLoads()
		if o := x.newRoster(); !o.Equal(x.roster()) || x.steering.roster.Load() == nil {
			x.steering.roster.Store(o)
		}
		var v, r []string
		for _, o := range s.Config.Services {
			v = append(v, o.Name)
		}
		for _, o := range s.Config.Regions {
			r = append(r, o.Name)
		}
		o := x.steering.loadStats.Observe(v, r)
		x.steering.lastObservations.Store(&o)
		l := make(map[string]bool, len(r))
		for _, n := range r {
			l[n] = x.isRegionSilent(n)
			for _, m := range v {
				x.steering.failover.Tick(m, n, !l[n])
			}
		}
		x.steering.lostRegions.Store(&l)
	}
}

// recordOwnLoads adds this host's own loads to the loads that peers report in
// heartbeats.
func (x *components) recordOwnLoads() {
	m := x.self()
	h := &wire.Heartbeat{From: &wire.Host{Name: m.Name, Incarnation: m.Incarnation, Domain: m.Domain, Region: m.Region}}
	x.fillHeartbeat(h)
	x.steering.loadStats.Record(h)
}

func (x *components) observations() []observation.Observation {
	if o := x.steering.lastObservations.Load(); o != nil {
		return *o
	}
	return nil
}

func (x *components) preset() preset.Preset {
	if s := x.configFollower.Snapshot(); s != nil {
		return s.Preset
	}
	return preset.Preset{}
}

func (x *components) drainingRegions() map[string]bool {
	r := make(map[string]bool)
	if s := x.configFollower.Snapshot(); s != nil {
		for _, v := range s.Config.Regions {
			r[v.Name] = v.Draining
		}
	}
	return r
}

func (x *components) domains() []domain.Domain {
	if s := x.configFollower.Snapshot(); s != nil {
		return s.Config.Domains
	}
	return nil
}

// regionShare returns the fraction of a service's callers that the plan assigns
// to a region.
func (x *components) regionShare(service, region string) float64 {
	c := make(map[string]float64)
	t := 0.0
	for _, o := range x.observations() {
		if o.Service == service {
			c[o.Region] = o.Callers
			t += o.Callers
		}
	}
	if t == 0 {
		for k := range c {
			c[k] = 1
		}
	}
	return x.steering.plans.Plan().Share(service, region, c)
}

// spareCapacity returns the capacity of the live regions that is neither used
// nor reserved as headroom, as a fraction of a service's demand.
func (x *components) spareCapacity(service string) float64 {
	f, d := 0.0, 0.0
	h := 1 - x.preset().Headroom
	for _, o := range x.observations() {
		if o.Service == service && o.Alive {
			d += o.Demand
			f += max(0, float64(o.Slots)*h-o.Demand)
		}
	}
	return f / max(d, 1)
}

// isRegionLost reports whether a region was lost at the last run of
// updateSteering. It only reads this result, because lookups call isRegionLost
// and must not iterate over all hosts.
func (x *components) isRegionLost(region string) bool {
	l := x.steering.lostRegions.Load()
	return l != nil && (*l)[region]
}

// isRegionSilent reports whether no host of a region has sent a heartbeat for
// lostAfterHolds Hold periods.
func (x *components) isRegionSilent(region string) bool {
	if region == x.host.Settings.Region {
		return false
	}
	t := x.steering.started
	x.steering.mu.Lock()
	for _, k := range x.steering.knownHosts {
		if k.member.Region == region && k.lastHeartbeat.After(t) {
			t = k.lastHeartbeat
		}
	}
	x.steering.mu.Unlock()
	return x.host.Clock.Since(t) > lostAfterHolds*x.host.Settings.Hold
}

// lastKnownHosts returns the hosts of a region that have recently sent
// heartbeats, live or not, in name order.
func (x *components) lastKnownHosts(region string) []member.Member {
	var r []member.Member
	x.steering.mu.Lock()
	for _, k := range x.steering.knownHosts {
		if k.member.Region == region {
			r = append(r, k.member)
		}
	}
	x.steering.mu.Unlock()
	sort.Slice(r, func(i, j int) bool { return r[i].Name < r[j].Name })
	return r
}

// findBlock finds the client block of an address in the block table and in the
// configuration. The longer prefix wins.
func (x *components) findBlock(a netip.Addr) (netip.Prefix, string, bool) {
	p, r, ok := x.steering.blocks.Find(a)
	s := x.configFollower.Snapshot()
	if s == nil {
		return p, r, ok
	}
	if !s.HasRegion(r) {
		ok = false // the region was removed, and the block table has not been updated yet
	}
	if q, n, k := s.Block(a); k && (!ok || q.Bits() > p.Bits()) {
		return q, n, k
	}
	return p, r, ok
}

// roster returns the hosts that lookups choose from. updateSteering builds the
// roster once per planInterval, so that lookups do not have to build it.
func (x *components) roster() *roster.Roster {
	if r := x.steering.roster.Load(); r != nil {
		return r
	}
	return x.newRoster()
}

func (x *components) newRoster() *roster.Roster {
	return roster.New(x.hosts(), func(domain string) int {
		if s := x.configFollower.Snapshot(); s != nil {
			return s.Slots(domain)
		}
		return 0
	})
}
