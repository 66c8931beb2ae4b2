// Package planner moves callers between regions in capped steps.
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

// Planner makes plans while it holds the lease. Run and Tick are called from
// one goroutine.
type Planner struct {
	// Clock paces the steps.
	Clock clockwork.Clock
	// Log receives one line for each plan.
	Log *log.Logger
	// Interval is the time between two looks.
	Interval time.Duration
	// Lag is how far measurements may be behind.
	Lag time.Duration
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
	// Quiet reports whether nothing else has moved callers lately; nil means
	// that nothing else does.
	Quiet func() bool
	// Held returns the epoch of the planner's lease, if it is held.
	Held func() (epoch uint64, ok bool)
	// Publish makes p the successor of version from. It reports false when
	// another plan came in between or the lease was lost.
	Publish func(ctx context.Context, from uint64, p *plan.Plan) (bool, error)

	epoch uint64
	since time.Time
	steps map[string]*step
}

// step is the last change for one service or failure domain.
type step struct {
	at       time.Time
	from, to string
	routes   []route.Route        // as they were before the step
	before   map[string]baseline  // by destination
	good     int                  // steps to one destination in a row
	failed   map[string]time.Time // destinations that were turned back from
}

// baseline is a destination before the steps to it, and when the last was.
type baseline struct {
	was observation.Observation
	at  time.Time
}

// move is a number of points of the route of one home region.
type move struct {
	home   string
	points int
}

// Run plans until ctx ends.
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

// Tick looks once and publishes a plan if something has to change. A planner
// that has just got the lease does not know when its predecessor made the last
// step, so it waits as if that had been now.
func (p *Planner) Tick(ctx context.Context) error {
	e, ok := p.Held()
	if !ok {
		p.epoch = 0
		return nil
	}
	n := p.Clock.Now()
	if e != p.epoch || p.steps == nil {
		p.epoch = e
		p.since = n
		p.steps = make(map[string]*step)
	}
	c := p.Current()
	if c == nil {
		c = &plan.Plan{}
	}
	o := p.Observe()
	k := p.copySteps()
	m := *c
	m.Reason = ""
	for _, s := range services(o) {
		m = p.service(m, newView(p, s, o))
	}
	m = p.domains(m, o)
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
		// It is certain that nothing was moved. After an error it is not, and
		// the steps count.
		p.steps = k
	}
	return err
}

func (p *Planner) copySteps() map[string]*step {
	r := make(map[string]*step, len(p.steps))
	for n, s := range p.steps {
		c := *s
		c.before = maps.Clone(s.before)
		c.failed = maps.Clone(s.failed)
		r[n] = &c
	}
	return r
}

// service makes at most one step for a service. What was attempted counts as a
// step even if its publication fails, since it may have taken effect.
func (p *Planner) service(m plan.Plan, v *view) plan.Plan {
	s := p.step(v.service)
	if p.Quiet != nil && !p.Quiet() {
		return m
	}
	if n, ok := p.turnBack(m, v, s); ok {
		return n
	}
	if !p.due(s) {
		return m
	}
	c, ok := v.choose(&m, s)
	if !ok {
		return m
	}
	k := c.moves(&m, v)
	if len(k) == 0 {
		return m
	}
	s.note(&m, v, c, k)
	return apply(m, v.service, c, k)
}

// note remembers a step and what it has to be compared with. Steps to one
// destination are compared with the time before the first of them: each could
// otherwise make the answers a little slower unnoticed.
func (s *step) note(m *plan.Plan, v *view, c choice, k []move) {
	if s.to == c.to && len(s.routes) > 0 {
		s.good++
	} else {
		s.good = 0
	}
	if s.before == nil {
		s.before = make(map[string]baseline)
	}
	b, ok := s.before[c.to]
	if !ok || v.now.Sub(b.at) >= forgetPaces*v.pace {
		b.was = v.regions[c.to]
		if b.was.Latency == 0 {
			b.was.Latency = v.regions[c.from].Latency
		}
	}
	b.at = v.now
	s.before[c.to] = b
	s.at = v.now
	s.from = c.from
	s.to = c.to
	s.routes = nil
	for _, x := range k {
		s.routes = append(s.routes, m.Route(v.service, x.home))
	}
}

// turnBack undoes the last step when its destination fails. It does not wait
// for ShiftInterval: the callers that move are those that the step has just
// moved, so that within the interval no others have.
func (p *Planner) turnBack(m plan.Plan, v *view, s *step) (plan.Plan, bool) {
	d := v.regions[s.to]
	if len(s.routes) == 0 || v.now.Sub(s.at) < p.Lag || !fails(d, s.before[s.to].was) {
		return m, false
	}
	n := m
	for _, r := range s.routes {
		n = *n.With(r)
	}
	n.Reason = because(m.Reason, fmt.Sprintf("%s %s back to %s: the destination fails", v.service, s.to, s.from))
	if s.failed == nil {
		s.failed = make(map[string]time.Time)
	}
	s.failed[s.to] = v.now
	s.routes = nil
	s.good = 0
	s.at = v.now
	return n, true
}

func (p *Planner) step(name string) *step {
	s := p.steps[name]
	if s == nil {
		s = &step{at: p.since}
		p.steps[name] = s
	}
	return s
}

// due reports whether the last step has shown its effect: callers keep a
// look-up answer for LookupTTL, and what they do is measured Lag later.
func (p *Planner) due(s *step) bool {
	return p.Clock.Since(s.at) >= p.pace()
}

func (p *Planner) pace() time.Duration {
	r := p.Preset()
	return max(r.ShiftInterval, r.LookupTTL+p.Lag)
}

// domains moves the weights of failure domains that are drained or come back.
func (p *Planner) domains(m plan.Plan, o []observation.Observation) plan.Plan {
	for _, d := range p.Domains() {
		s := p.step("domain " + d.Name)
		w := m.Weight(d.Name)
		t := 1.0
		if d.Draining {
			t = 0
		}
		if w == t || !p.due(s) {
			continue
		}
		// A failure domain has at most its region's callers, so that a change
		// of weight moves at most cap of the service's.
		k := p.Preset().ShiftCap / max(share(&m, o, d.Region), p.Preset().ShiftCap)
		s.at = p.Clock.Now()
		r := m.Reason
		m = *m.WithWeight(d.Name, max(t, w-k))
		if t > w {
			m = *m.WithWeight(d.Name, min(t, w+k))
		}
		m.Reason = because(r, fmt.Sprintf("weight of %s is %.2f", d.Name, m.Weight(d.Name)))
	}
	return m
}

// share returns the greatest part of any service's callers that a region has.
func share(m *plan.Plan, o []observation.Observation, region string) float64 {
	h := 0.0
	for _, s := range services(o) {
		v := &view{service: s, regions: make(map[string]observation.Observation)}
		v.fill(o)
		h = max(h, v.share(m, region))
	}
	return h
}

func apply(m plan.Plan, service string, c choice, moves []move) plan.Plan {
	r := m.Reason
	t := 0
	for _, k := range moves {
		m = *m.With(m.Route(service, k.home).Shift(c.from, c.to, k.points))
		t += k.points
	}
	m.Reason = because(r, fmt.Sprintf("%s %s to %s, %d points: %s", service, c.from, c.to, t, c.reason))
	return m
}

func because(a, b string) string {
	if a == "" {
		return b
	}
	return a + "; " + b
}

func services(o []observation.Observation) []string {
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
