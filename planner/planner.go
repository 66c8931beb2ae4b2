// Package planner moves callers between regions in steps of limited size.
package planner

import (
	"context"
	"fmt"
	"maps"
	"sort"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/domain"
	"celeryreach.example/celeryreach/observation"
	"celeryreach.example/celeryreach/plan"
	"celeryreach.example/celeryreach/preset"
	"celeryreach.example/celeryreach/route"
)

// Planner makes plans while it holds the planner lease. Run and Tick are called
// from one goroutine.
type Planner struct {
	// Clock paces the steps.
	Clock clockwork.Clock
	// Log receives one line for each plan.
	Log *log.Logger
	// Interval is the time between two ticks.
	Interval time.Duration
	// MeasurementDelay is the maximum delay of measurements.
	MeasurementDelay time.Duration
	// Preset returns the policy in force.
	Preset func() preset.Preset
	// Draining returns the draining regions.
	Draining func() map[string]bool
	// Domains returns the failure domains.
	Domains func() []domain.Domain
	// Observe returns one observation for each service and region.
	Observe func() []observation.Observation
	// Current returns the plan in force, nil before the first.
	Current func() *plan.Plan
	// FailoverIdle reports whether failover has moved no callers recently; nil
	// means that there is no failover.
	FailoverIdle func() bool
	// LeaseEpoch returns the epoch of the planner lease and whether this planner
	// holds it.
	LeaseEpoch func() (epoch uint64, ok bool)
	// Publish makes p the successor of version from. It reports false when
	// another plan was published in between or the lease was lost.
	Publish func(ctx context.Context, from uint64, p *plan.Plan) (bool, error)

	epoch      uint64
	leaseStart time.Time
	states     map[string]*shiftState
}

// shiftState describes the last step for one service, or the last change of one
// failure domain's weight.
type shiftState struct {
	at             time.Time
	from, to       string
	previousRoutes []route.Route        // before the last step
	baselines      map[string]baseline  // by destination region
	consecutive    int                  // number of consecutive steps to the same destination, less one
	failedAt       map[string]time.Time // by destination region whose step was reverted
}

// baseline is the observation of a destination before the steps to it, and the
// time of the last step.
type baseline struct {
	observed observation.Observation
	lastStep time.Time
}

// move is a number of points to move on the route of one home region.
type move struct {
	home   string
	points int
}

// Run calls Tick at each Interval until ctx ends.
func (p *Planner) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.Clock.After(p.Interval):
		}
		if err := p.Tick(ctx); err != nil && ctx.Err() == nil {
			p.Log.Warn("plan not published", "Error", err)
		}
	}
}

// Tick observes the regions once and publishes a plan if callers must be moved.
// A planner that has just acquired the lease has no record of its predecessor's
// last step, so it waits as if that step had been taken now.
func (p *Planner) Tick(ctx context.Context) error {
	e, ok := p.LeaseEpoch()
	if !ok {
		p.epoch = 0
		return nil
	}
	n := p.Clock.Now()
	if e != p.epoch || p.states == nil {
		p.epoch = e
		p.leaseStart = n
		p.states = make(map[string]*shiftState)
	}
	c := p.Current()
	if c == nil {
		c = &plan.Plan{}
	}
	o := p.Observe()
	k := p.copyStates()
	m := *c
	m.Reason = ""
	for _, s := range serviceNames(o) {
		m = p.planService(m, newServiceView(p, s, o))
	}
	m = p.planDomains(m, o)
	if m.Reason == "" {
		return nil
	}
	m.Version = c.Version + 1
	m.Epoch = e
	ok, err := p.Publish(ctx, c.Version, &m)
	if ok {
		p.Log.Info("plan published", "Version", m.Version, "Epoch", e, "Reason", m.Reason)
	}
	if !ok && err == nil {
		// The publication was refused, so no callers were moved. After an
		// error, the plan may have been published, so the steps are counted.
		p.states = k
	}
	return err
}

func (p *Planner) copyStates() map[string]*shiftState {
	r := make(map[string]*shiftState, len(p.states))
	for n, s := range p.states {
		c := *s
		c.baselines = maps.Clone(s.baselines)
		c.failedAt = maps.Clone(s.failedAt)
		r[n] = &c
	}
	return r
}

// planService adds at most one step for a service to the plan. An attempted
// step counts even if its publication fails, since it may have taken effect.
func (p *Planner) planService(m plan.Plan, v *serviceView) plan.Plan {
	s := p.state(v.service)
	if p.FailoverIdle != nil && !p.FailoverIdle() {
		return m
	}
	if n, ok := p.revertLastStep(m, v, s); ok {
		return n
	}
	if !p.due(s) {
		return m
	}
	c, ok := v.nextShift(&m, s)
	if !ok {
		return m
	}
	k := c.moves(&m, v)
	if len(k) == 0 {
		return m
	}
	s.record(&m, v, c, k)
	return applyMoves(m, v.service, c, k)
}

// record stores a step and the baseline of its destination. Successive steps to
// one destination share the baseline from before the first of them. Otherwise
// each step could make answers slightly slower without being noticed.
func (s *shiftState) record(m *plan.Plan, v *serviceView, c shift, k []move) {
	if s.to == c.to && len(s.previousRoutes) > 0 {
		s.consecutive++
	} else {
		s.consecutive = 0
	}
	if s.baselines == nil {
		s.baselines = make(map[string]baseline)
	}
	b, ok := s.baselines[c.to]
	if !ok || v.now.Sub(b.lastStep) >= baselineIntervals*v.stepInterval {
		b.observed = v.regions[c.to]
		if b.observed.Latency == 0 {
			b.observed.Latency = v.regions[c.from].Latency
		}
	}
	b.lastStep = v.now
	s.baselines[c.to] = b
	s.at = v.now
	s.from = c.from
	s.to = c.to
	s.previousRoutes = nil
	for _, x := range k {
		s.previousRoutes = append(s.previousRoutes, m.Route(v.service, x.home))
	}
}

// revertLastStep undoes the last step when its destination fails. It does not
// wait for ShiftInterval: it moves only the callers that the step has just
// moved, so no others have moved within the interval.
func (p *Planner) revertLastStep(m plan.Plan, v *serviceView, s *shiftState) (plan.Plan, bool) {
	d := v.regions[s.to]
	if len(s.previousRoutes) == 0 || v.now.Sub(s.at) < p.MeasurementDelay || !isFailing(d, s.baselines[s.to].observed) {
		return m, false
	}
	n := m
	for _, r := range s.previousRoutes {
		n = *n.WithRoute(r)
	}
	n.Reason = joinReasons(m.Reason, fmt.Sprintf("%s %s back to %s: the destination fails", v.service, s.to, s.from))
	if s.failedAt == nil {
		s.failedAt = make(map[string]time.Time)
	}
	s.failedAt[s.to] = v.now
	s.previousRoutes = nil
	s.consecutive = 0
	s.at = v.now
	return n, true
}

func (p *Planner) state(name string) *shiftState {
	s := p.states[name]
	if s == nil {
		s = &shiftState{at: p.leaseStart}
		p.states[name] = s
	}
	return s
}

// due reports whether the last step has shown its effect: callers keep a
// look-up answer for LookupTTL, and their requests are measured MeasurementDelay later.
func (p *Planner) due(s *shiftState) bool {
	return p.Clock.Since(s.at) >= p.stepInterval()
}

// stepInterval returns the least time between two steps.
func (p *Planner) stepInterval() time.Duration {
	r := p.Preset()
	return max(r.ShiftInterval, r.LookupTTL+p.MeasurementDelay)
}

// planDomains changes the weights of failure domains that are drained or
// returning to service.
func (p *Planner) planDomains(m plan.Plan, o []observation.Observation) plan.Plan {
	for _, d := range p.Domains() {
		s := p.state("domain " + d.Name)
		w := m.Weight(d.Name)
		t := 1.0
		if d.Draining {
			t = 0
		}
		if w == t || !p.due(s) {
			continue
		}
		// A failure domain serves at most all callers of its region, so
		// changing its weight by k moves at most ShiftCap of a
		// service's callers.
		k := p.Preset().ShiftCap / max(maxShare(&m, o, d.Region), p.Preset().ShiftCap)
		s.at = p.Clock.Now()
		r := m.Reason
		m = *m.WithWeight(d.Name, max(t, w-k))
		if t > w {
			m = *m.WithWeight(d.Name, min(t, w+k))
		}
		m.Reason = joinReasons(r, fmt.Sprintf("weight of %s is %.2f", d.Name, m.Weight(d.Name)))
	}
	return m
}

// maxShare returns the largest fraction of any service's callers that is
// steered to a region.
func maxShare(m *plan.Plan, o []observation.Observation, region string) float64 {
	h := 0.0
	for _, s := range serviceNames(o) {
		v := &serviceView{service: s, regions: make(map[string]observation.Observation)}
		v.fill(o)
		h = max(h, v.share(m, region))
	}
	return h
}

func applyMoves(m plan.Plan, service string, c shift, moves []move) plan.Plan {
	r := m.Reason
	t := 0
	for _, k := range moves {
		m = *m.WithRoute(m.Route(service, k.home).Shift(c.from, c.to, k.points))
		t += k.points
	}
	m.Reason = joinReasons(r, fmt.Sprintf("%s %s to %s, %d points: %s", service, c.from, c.to, t, c.reason))
	return m
}

func joinReasons(a, b string) string {
	if a == "" {
		return b
	}
	return a + "; " + b
}

func serviceNames(o []observation.Observation) []string {
	h := make(map[string]bool)
	var r []string
	for _, v := range o {
		if !h[v.Service] {
			h[v.Service] = true
			r = append(r, v.Service)
		}
	}
	sort.Strings(r)
	return r
}
