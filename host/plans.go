package host

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sort"
	"time"

	"celeryreach.example/celeryreach/accepted"
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
	planEvery   = time.Second
	plannerKey  = "lease/planner"
	plannerTerm = 15 * time.Second
	gaugeWindow = 10 * time.Second
	// measureLag is how far the sum of the gauge's window, of one heartbeat
	// and of one look may be behind.
	measureLag = gaugeWindow + 2*time.Second
	// lostHolds is after how many times Hold without any of its hosts a region
	// counts as lost. Some seconds of silence move nobody.
	lostHolds = 3
)

func (x *parts) newPlanner(s *steering) *planner.Planner {
	h := x.host
	return &planner.Planner{
		Clock: h.Clock, Log: h.Log, Interval: planEvery, Lag: measureLag, Preset: x.preset,
		Draining: x.drainingRegions, Domains: x.domains, Observe: x.observations, Current: s.plans.Plan,
		Quiet: func() bool { return s.failover.Quiet(x.preset().ShiftInterval) },
		Held:  s.lease.Held,
		Publish: func(ctx context.Context, from uint64, p *plan.Plan) (bool, error) {
			return x.publishPlan(ctx, from, p)
		},
	}
}

func (x *parts) newLease() *lease.Lease {
	h := x.host
	return &lease.Lease{
		Clock: h.Clock, Platform: h.Platform, Name: plannerKey, Term: plannerTerm,
		Holder: fmt.Sprintf("%s-%d", h.Settings.Name, h.Incarnation),
	}
}

// campaign asks for the planner's lease while this host is one of those that
// read the platform often: a lease that every host asked for would cost the
// platform a read for each of thousands of hosts in each quarter of its term.
func (x *parts) campaign(ctx context.Context) error {
	for ctx.Err() == nil {
		if x.reads() {
			x.runLease(ctx)
		}
		select {
		case <-ctx.Done():
		case <-x.host.Clock.After(planEvery):
		}
	}
	return nil
}

// runLease asks for the lease until this host need not any more.
func (x *parts) runLease(ctx context.Context) {
	c, f := context.WithCancel(ctx)
	defer f()
	d := make(chan struct{})
	go func() {
		defer close(d)
		_ = x.steering.lease.Run(c) // it ends with c and has no other end
	}()
	for x.reads() && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-x.host.Clock.After(planEvery):
		}
	}
	f()
	<-d
}

// publishPlan writes a plan on condition of the lease and of the plan before
// it, so that a planner that was paused writes nothing when it goes on.
func (x *parts) publishPlan(ctx context.Context, from uint64, p *plan.Plan) (bool, error) {
	b, err := codec.Marshal(p)
	if err != nil {
		return false, err
	}
	r := x.steering.plans.Replica()
	w := &publish.Publish{Clock: x.host.Clock, Platform: x.host.Platform, Key: accepted.PlanKey, Fence: x.steering.lease.Fence}
	a, ok, err := w.Commit(ctx, from, b)
	if err != nil {
		return false, err
	}
	if !ok {
		return false, r.Poll(ctx)
	}
	return true, r.Offer(a.Version, a.Hash, b)
}

func (x *parts) newLookup() *lookup.Lookup {
	return &lookup.Lookup{
		Snapshot: x.follower.Snapshot, Plan: x.steering.plans.Plan, Hosts: x.roster,
		Block: x.block, Home: x.host.Settings.Region, Lost: x.lost, Last: x.last,
		Moved: x.steering.failover.Moved, Asked: x.steering.meter.Asked, Random: open,
	}
}

// open returns a random number in 0..1 without 0, of which there is no
// logarithm.
func open() float64 {
	return 1 - rand.Float64()
}

// serve runs a request in the own failure domain and counts it for the planner.
func (x *parts) serve(ctx context.Context, r *request.Request, w http.ResponseWriter) outcome.Outcome {
	t := x.host.Clock.Now()
	o := x.dispatch.Serve(ctx, r, w)
	switch o.Outcome {
	case outcome.Answered:
		x.steering.meter.Served(r.Service.Name, x.host.Clock.Since(t), false)
	case outcome.NoCapacity, outcome.BackendFailed, outcome.OutcomeUnknown:
		x.steering.meter.Served(r.Service.Name, 0, true)
	}
	return o
}

// look sums up what heartbeats tell and takes the steps of a failover.
func (x *parts) look(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-x.host.Clock.After(planEvery):
		}
		s := x.follower.Snapshot()
		if s == nil {
			continue
		}
		x.noteSelf()
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
		o := x.steering.gauge.Observe(v, r)
		x.steering.observed.Store(&o)
		l := make(map[string]bool, len(r))
		for _, n := range r {
			l[n] = x.silent(n)
			for _, m := range v {
				x.steering.failover.Tick(m, n, !l[n])
			}
		}
		x.steering.lost.Store(&l)
	}
}

// noteSelf adds this host's own counts to the peers'.
func (x *parts) noteSelf() {
	m := x.self()
	h := &wire.Heartbeat{From: &wire.Host{Name: m.Name, Incarnation: m.Incarnation, Domain: m.Domain, Region: m.Region}}
	x.compose(h)
	x.steering.gauge.Note(h)
}

func (x *parts) observations() []observation.Observation {
	if o := x.steering.observed.Load(); o != nil {
		return *o
	}
	return nil
}

func (x *parts) preset() preset.Preset {
	if s := x.follower.Snapshot(); s != nil {
		return s.Preset
	}
	return preset.Preset{}
}

func (x *parts) drainingRegions() map[string]bool {
	r := make(map[string]bool)
	if s := x.follower.Snapshot(); s != nil {
		for _, v := range s.Config.Regions {
			r[v.Name] = v.Draining
		}
	}
	return r
}

func (x *parts) domains() []domain.Domain {
	if s := x.follower.Snapshot(); s != nil {
		return s.Config.Domains
	}
	return nil
}

// share returns the part of a service's callers that a region has.
func (x *parts) share(service, region string) float64 {
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

// room returns the part of a service's callers that the regions that are heard
// can take within the headroom.
func (x *parts) room(service string) float64 {
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

// lost reports whether no host of a region was heard for long, as of the last
// look: look-ups ask this and must not go through all hosts.
func (x *parts) lost(region string) bool {
	l := x.steering.lost.Load()
	return l != nil && (*l)[region]
}

// silent reports whether no host of a region was heard for long.
func (x *parts) silent(region string) bool {
	if region == x.host.Settings.Region {
		return false
	}
	t := x.steering.started
	x.steering.mu.Lock()
	for _, k := range x.steering.known {
		if k.member.Region == region && k.heard.After(t) {
			t = k.heard
		}
	}
	x.steering.mu.Unlock()
	return x.host.Clock.Since(t) > lostHolds*x.host.Settings.Hold
}

// last returns the hosts of a region that were heard last.
func (x *parts) last(region string) []member.Member {
	var r []member.Member
	x.steering.mu.Lock()
	for _, k := range x.steering.known {
		if k.member.Region == region {
			r = append(r, k.member)
		}
	}
	x.steering.mu.Unlock()
	sort.Slice(r, func(i, j int) bool { return r[i].Name < r[j].Name })
	return r
}

// block finds a client block in the table of its own and among those that the
// configuration lists; the longer prefix decides.
func (x *parts) block(a netip.Addr) (netip.Prefix, string, bool) {
	p, r, ok := x.steering.blocks.Find(a)
	s := x.follower.Snapshot()
	if s == nil {
		return p, r, ok
	}
	if !s.HasRegion(r) {
		ok = false // the region was removed; the block waits for its change
	}
	if q, n, k := s.Block(a); k && (!ok || q.Bits() > p.Bits()) {
		return q, n, k
	}
	return p, r, ok
}

// roster returns the hosts that look-ups choose from. It is compared once a
// second and not made for each look-up.
func (x *parts) roster() *roster.Roster {
	if r := x.steering.roster.Load(); r != nil {
		return r
	}
	return x.newRoster()
}

func (x *parts) newRoster() *roster.Roster {
	return roster.New(x.hosts(), func(domain string) int {
		if s := x.follower.Snapshot(); s != nil {
			return s.Slots(domain)
		}
		return 0
	})
}
