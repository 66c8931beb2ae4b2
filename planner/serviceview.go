package planner

import (
	"sort"
	"time"

	"celeryreach.example/celeryreach/observation"
	"celeryreach.example/celeryreach/plan"
	"celeryreach.example/celeryreach/preset"
	"celeryreach.example/celeryreach/route"
)

const (
	// Answers are slow when their latency exceeds slowLatencyFactor times their
	// latency before the first step, plus slowLatencyMargin. A cold cache
	// raises the latency long before it causes failures.
	slowLatencyFactor = 2
	slowLatencyMargin = 10 * time.Millisecond
	// A destination fails when its fraction of failed requests exceeds both
	// minFailingFraction and failingFactor times the fraction before the
	// first step.
	minFailingFraction = 0.05
	failingFactor      = 2
	// returnUtilization is the fraction of the usable slots below which
	// callers return home. The gap to 1 prevents a constant load from
	// moving callers out and back forever.
	returnUtilization = 0.8
	// firstStepFraction is the fraction of ShiftCap that the first step to
	// a destination may take. Each further step that is not reverted
	// doubles it.
	firstStepFraction = 0.25
	// minStep is the smallest fraction of a service's callers that a step
	// moves.
	minStep = 0.001
	// avoidIntervals is the number of step intervals for which a
	// destination that failed is avoided.
	avoidIntervals = 4
	// baselineIntervals is the number of step intervals after the last step to
	// a destination during which its answers are compared with the answers
	// before the first step.
	baselineIntervals = 16
	// minCallers is the least fraction of callers assumed for a home
	// region, also if none were measured.
	minCallers = 0.01
)

// serviceView is the planner's current view of one service.
type serviceView struct {
	service      string
	now          time.Time
	preset       preset.Preset
	stepInterval time.Duration
	draining     map[string]bool
	regions      map[string]observation.Observation
	names        []string
	total        float64 // demand of all regions
}

func newServiceView(p *Planner, service string, o []observation.Observation) *serviceView {
	v := &serviceView{
		service: service, now: p.Clock.Now(), preset: p.Preset(), stepInterval: p.stepInterval(), draining: p.Draining(),
		regions: make(map[string]observation.Observation),
	}
	v.fill(o)
	return v
}

// fill adds the observations of the service.
func (v *serviceView) fill(o []observation.Observation) {
	c := 0.0
	for _, r := range o {
		if r.Service == v.service {
			v.regions[r.Region] = r
			v.names = append(v.names, r.Region)
			v.total += r.Demand
			c += r.Callers
		}
	}
	sort.Strings(v.names)
	for _, n := range v.names {
		r := v.regions[n]
		if c == 0 {
			r.Callers = 1 / float64(len(v.names))
		}
		r.Callers = max(r.Callers, minCallers)
		v.regions[n] = r
	}
}

// shift is a step from one region to another.
type shift struct {
	from, to string
	amount   float64 // fraction of the service's callers
	reason   string
}

// nextShift returns the most urgent step: out of a draining region, out of a
// region over its limit, or back home.
func (v *serviceView) nextShift(m *plan.Plan, s *shiftState) (shift, bool) {
	for _, f := range []func(m *plan.Plan, s *shiftState) shift{v.leaveDraining, v.leaveOverloaded, v.returnHome} {
		c := f(m, s)
		c.amount = min(c.amount, v.preset.ShiftCap*v.stepFraction(c.to, s))
		if c.to != "" && c.amount >= minStep {
			return c, true
		}
	}
	return shift{}, false
}

// leaveDraining returns a step out of a draining region that still has callers.
func (v *serviceView) leaveDraining(m *plan.Plan, s *shiftState) shift {
	for _, n := range v.names {
		if h := v.share(m, n); v.draining[n] && h > 0 && v.regions[n].Alive {
			d, a := v.destination(n, s)
			return shift{from: n, to: d, amount: min(h, a), reason: "the region drains"}
		}
	}
	return shift{}
}

// leaveOverloaded returns a step out of a region whose demand exceeds its
// usable slots.
func (v *serviceView) leaveOverloaded(_ *plan.Plan, s *shiftState) shift {
	for _, n := range v.names {
		o := v.regions[n]
		x := (o.Demand - v.usableSlots(n)) / max(v.total, 1)
		if !o.Alive || v.draining[n] || x <= 0 {
			continue
		}
		d, a := v.destination(n, s)
		return shift{from: n, to: d, amount: min(x, a), reason: "the region is over its limit"}
	}
	return shift{}
}

// returnHome returns the largest step that moves callers from one region back
// to their home region, as far as the home region can serve them below
// returnUtilization.
func (v *serviceView) returnHome(m *plan.Plan, s *shiftState) shift {
	c := shift{reason: "back home"}
	for _, n := range v.names {
		if !v.acceptsCallers(n, s) {
			continue
		}
		f := (returnUtilization*v.usableSlots(n) - v.regions[n].Demand) / max(v.total, 1)
		r := m.Route(v.service, n)
		for _, o := range v.names {
			a := min(f, v.regions[n].Callers*float64(r.PointCount(o))/route.TotalPoints)
			if o != n && v.regions[o].Alive && a > c.amount {
				c.from, c.to, c.amount = o, n, a
			}
		}
	}
	return c
}

// destination returns the region with the most free slots that accepts callers,
// and the fraction of the service's demand that fits in them.
func (v *serviceView) destination(from string, s *shiftState) (region string, amount float64) {
	for _, n := range v.names {
		a := (v.usableSlots(n) - v.regions[n].Demand) / max(v.total, 1)
		if n != from && v.acceptsCallers(n, s) && a > amount {
			region, amount = n, a
		}
	}
	return region, amount
}

// acceptsCallers reports whether callers may be moved to a region now. A region
// that answers slowly after a recent step to it, or that failed recently,
// accepts none.
func (v *serviceView) acceptsCallers(n string, s *shiftState) bool {
	o := v.regions[n]
	if !o.Alive || v.draining[n] {
		return false
	}
	if t, ok := s.failedAt[n]; ok && v.now.Sub(t) < avoidIntervals*v.stepInterval {
		return false
	}
	b, ok := s.baselines[n]
	return !ok || v.now.Sub(b.lastStep) >= baselineIntervals*v.stepInterval || !isSlow(o, b.observed)
}

// usableSlots returns how many slots of a region a plan may fill.
func (v *serviceView) usableSlots(n string) float64 {
	o := v.regions[n]
	if !o.Alive || v.draining[n] {
		return 0
	}
	return float64(o.Slots) * (1 - v.preset.Headroom)
}

// stepFraction returns the fraction of ShiftCap that a step to a region may
// take.
func (v *serviceView) stepFraction(to string, s *shiftState) float64 {
	f := firstStepFraction
	if s.to == to {
		for range s.consecutive + 1 {
			f = min(1, f*2)
		}
	}
	return f
}

// share returns the fraction of the service's callers that is steered to a
// region.
func (v *serviceView) share(m *plan.Plan, region string) float64 {
	c := make(map[string]float64, len(v.names))
	for _, n := range v.names {
		c[n] = v.regions[n].Callers
	}
	return m.Share(v.service, region, c)
}

// moves distributes a step over the home regions. Callers whose home is the
// destination move first, so that they return home, then callers whose home is
// neither of the two regions.
func (c shift) moves(m *plan.Plan, v *serviceView) []move {
	n := append([]string(nil), v.names...)
	sort.SliceStable(n, func(i, j int) bool { return c.homePriority(n[i]) < c.homePriority(n[j]) })
	a := c.amount
	var r []move
	for _, h := range n {
		f := v.regions[h].Callers
		k := min(m.Route(v.service, h).PointCount(c.from), int(a/f*route.TotalPoints))
		if k > 0 {
			r = append(r, move{home: h, points: k})
			a -= float64(k) / route.TotalPoints * f
		}
	}
	return r
}

// homePriority returns the rank of a home region in a step; callers of the
// lowest rank move first.
func (c shift) homePriority(home string) int {
	switch home {
	case c.to:
		return 0
	case c.from:
		return 2
	default:
		return 1
	}
}

func isSlow(o, before observation.Observation) bool {
	return before.Latency > 0 && o.Latency > slowLatencyFactor*before.Latency+slowLatencyMargin
}

func isFailing(o, before observation.Observation) bool {
	return o.Alive && o.Failures > max(minFailingFraction, failingFactor*before.Failures)
}
