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
	// slowFactor and slowMargin say when answers have grown slow: a cold cache
	// shows as latency long before it shows as failures.
	slowFactor = 2
	slowMargin = 10 * time.Millisecond
	// failFraction and failFactor say when a destination fails.
	failFraction = 0.05
	failFactor   = 2
	// returnBelow is the part of the usable slots under which callers return
	// home. The gap to 1 keeps a load that stays the same from moving callers
	// out and back for ever.
	returnBelow = 0.8
	// firstStep is the part of the cap that the first step to a destination
	// takes; each good step doubles it.
	firstStep = 0.25
	// leastStep is the smallest step worth a plan.
	leastStep = 0.001
	// avoidPaces is for how many paces a destination that failed is avoided.
	avoidPaces = 4
	// forgetPaces is for how many paces after the last step to a destination
	// its answers are compared with those before the first.
	forgetPaces = 16
	// leastCallers stands in for a home region without measured callers.
	leastCallers = 0.01
)

// view is one service as the planner sees it now.
type view struct {
	service  string
	now      time.Time
	preset   preset.Preset
	pace     time.Duration
	draining map[string]bool
	regions  map[string]observation.Observation
	names    []string
	total    float64 // demand of all regions
}

func newView(p *Planner, service string, o []observation.Observation) *view {
	v := &view{
		service: service, now: p.Clock.Now(), preset: p.Preset(), pace: p.pace(), draining: p.Draining(),
		regions: make(map[string]observation.Observation),
	}
	v.fill(o)
	return v
}

func (v *view) fill(o []observation.Observation) {
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
		r.Callers = max(r.Callers, leastCallers)
		v.regions[n] = r
	}
}

// choice is a step that should be taken.
type choice struct {
	from, to string
	amount   float64 // of the service's callers
	reason   string
}

// choose returns the most pressing step: out of a draining region, out of one
// over its limit, or back home.
func (v *view) choose(m *plan.Plan, s *step) (choice, bool) {
	for _, f := range []func(m *plan.Plan, s *step) choice{v.drain, v.relieve, v.home} {
		c := f(m, s)
		c.amount = min(c.amount, v.preset.ShiftCap*v.ramp(c.to, s))
		if c.to != "" && c.amount >= leastStep {
			return c, true
		}
	}
	return choice{}, false
}

func (v *view) drain(m *plan.Plan, s *step) choice {
	for _, n := range v.names {
		if h := v.share(m, n); v.draining[n] && h > 0 && v.regions[n].Alive {
			d, a := v.destination(n, s)
			return choice{from: n, to: d, amount: min(h, a), reason: "the region drains"}
		}
	}
	return choice{}
}

func (v *view) relieve(_ *plan.Plan, s *step) choice {
	for _, n := range v.names {
		o := v.regions[n]
		x := (o.Demand - v.usable(n)) / max(v.total, 1)
		if !o.Alive || v.draining[n] || x <= 0 {
			continue
		}
		d, a := v.destination(n, s)
		return choice{from: n, to: d, amount: min(x, a), reason: "the region is over its limit"}
	}
	return choice{}
}

// home brings back the callers of the home region that has the most of them
// elsewhere, if it can take them with room to spare.
func (v *view) home(m *plan.Plan, s *step) choice {
	c := choice{reason: "back home"}
	for _, n := range v.names {
		if !v.takes(n, s) {
			continue
		}
		f := (returnBelow*v.usable(n) - v.regions[n].Demand) / max(v.total, 1)
		r := m.Route(v.service, n)
		for _, o := range v.names {
			a := min(f, v.regions[n].Callers*float64(r.Share(o))/route.Points)
			if o != n && v.regions[o].Alive && a > c.amount {
				c.from, c.to, c.amount = o, n, a
			}
		}
	}
	return c
}

// destination returns the region with the most room, and the room.
func (v *view) destination(from string, s *step) (region string, amount float64) {
	for _, n := range v.names {
		a := (v.usable(n) - v.regions[n].Demand) / max(v.total, 1)
		if n != from && v.takes(n, s) && a > amount {
			region, amount = n, a
		}
	}
	return region, amount
}

// takes reports whether callers may be moved to a region now: not while it
// answers slowly after the last step, and not soon after it failed.
func (v *view) takes(n string, s *step) bool {
	o := v.regions[n]
	if !o.Alive || v.draining[n] {
		return false
	}
	if t, ok := s.failed[n]; ok && v.now.Sub(t) < avoidPaces*v.pace {
		return false
	}
	b, ok := s.before[n]
	return !ok || v.now.Sub(b.at) >= forgetPaces*v.pace || !slow(o, b.was)
}

// usable returns how many slots a plan may fill.
func (v *view) usable(n string) float64 {
	o := v.regions[n]
	if !o.Alive || v.draining[n] {
		return 0
	}
	return float64(o.Slots) * (1 - v.preset.Headroom)
}

// ramp returns the part of the cap that a step to a region may take.
func (v *view) ramp(to string, s *step) float64 {
	f := firstStep
	if s.to == to {
		for range s.good + 1 {
			f = min(1, f*2)
		}
	}
	return f
}

// share returns the part of the service's callers that a region has.
func (v *view) share(m *plan.Plan, region string) float64 {
	c := make(map[string]float64, len(v.names))
	for _, n := range v.names {
		c[n] = v.regions[n].Callers
	}
	return m.Share(v.service, region, c)
}

// moves spreads a step over home regions: those whose home is the destination
// first, so that callers return home, then those whose home is neither.
func (c choice) moves(m *plan.Plan, v *view) []move {
	n := append([]string(nil), v.names...)
	sort.SliceStable(n, func(i, j int) bool { return c.rank(n[i]) < c.rank(n[j]) })
	a := c.amount
	var r []move
	for _, h := range n {
		f := v.regions[h].Callers
		k := min(m.Route(v.service, h).Share(c.from), int(a/f*route.Points))
		if k > 0 {
			r = append(r, move{home: h, points: k})
			a -= float64(k) / route.Points * f
		}
	}
	return r
}

func (c choice) rank(home string) int {
	switch home {
	case c.to:
		return 0
	case c.from:
		return 2
	default:
		return 1
	}
}

func slow(o, before observation.Observation) bool {
	return before.Latency > 0 && o.Latency > slowFactor*before.Latency+slowMargin
}

func fails(o, before observation.Observation) bool {
	return o.Alive && o.Failures > max(failFraction, failFactor*before.Failures)
}
