package planner_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/domain"
	"celeryreach.example/celeryreach/failover"
	"celeryreach.example/celeryreach/golden"
	"celeryreach.example/celeryreach/observation"
	"celeryreach.example/celeryreach/plan"
	"celeryreach.example/celeryreach/planner"
	"celeryreach.example/celeryreach/preset"
	"celeryreach.example/celeryreach/route"
)

const (
	service = "Listings"
	tick    = 5 * time.Second
)

// simulatedRegion is one region of a simulation.
type simulatedRegion struct {
	// Name is the region.
	Name string
	// Slots is its capacity.
	Slots int
	// Demand is the number of requests that its callers run at once.
	Demand float64
}

// event changes the state of a region.
type event struct {
	// At is the time since the start.
	At time.Duration
	// Region is the region.
	Region string
	// Demand, if set, is the new demand of its callers.
	Demand float64 `json:",omitzero"`
	// Draining drains the region until its next event.
	Draining bool `json:",omitzero"`
	// Lost stops all heartbeats of the region until its next event.
	Lost bool `json:",omitzero"`
	// Failing makes half of the region's answers failures until its next
	// event.
	Failing bool `json:",omitzero"`
	// Cold is added to the latency of the region until its next event.
	Cold time.Duration `json:",omitzero"`
}

// simulation is a set of regions whose callers keep look-up answers for the
// time to live and whose measurements are delayed.
type simulation struct {
	// Regions are the regions.
	Regions []simulatedRegion
	// Events are applied at their times.
	Events []event
	// Lag delays every observation.
	Lag time.Duration
	// For is the length of the simulation.
	For time.Duration

	clock        *clockwork.FakeClock
	plan         *plan.Plan
	callerShares map[string]float64 // fraction of a home region's callers in a region, by both names
	lastEvents   map[string]event
	history      [][]observation.Observation
	preset       preset.Preset
}

func (s *simulation) start() *planner.Planner {
	s.clock = clockwork.NewFakeClock()
	s.callerShares = make(map[string]float64)
	s.lastEvents = make(map[string]event)
	if s.preset.Name == "" {
		s.preset = preset.Preset{Name: "Ordinary", ShiftCap: 0.1, ShiftInterval: 30 * time.Second, Headroom: 0.2, LookupTTL: 30 * time.Second}
	}
	for _, r := range s.Regions {
		s.callerShares[r.Name+r.Name] = 1
	}
	return &planner.Planner{
		Clock: s.clock, Log: log.New(io.Discard), MeasurementDelay: s.Lag, Preset: func() preset.Preset { return s.preset },
		Draining: func() map[string]bool {
			m := make(map[string]bool)
			for k, v := range s.lastEvents {
				m[k] = v.Draining
			}
			return m
		},
		Domains: func() []domain.Domain { return nil }, Observe: s.observe, Current: func() *plan.Plan { return s.plan },
		LeaseEpoch: func() (uint64, bool) { return 1, true },
		Publish: func(_ context.Context, _ uint64, p *plan.Plan) (bool, error) {
			s.plan = p
			return true, nil
		},
	}
}

// step applies the events of a time and advances the clock by one tick. Each
// caller looks up once in a time to live.
func (s *simulation) step(at time.Duration) {
	for _, e := range s.Events {
		if e.At == at {
			s.lastEvents[e.Region] = e
			for i := range s.Regions {
				if s.Regions[i].Name == e.Region && e.Demand > 0 {
					s.Regions[i].Demand = e.Demand
				}
			}
		}
	}
	f := min(1, float64(tick)/float64(s.preset.LookupTTL))
	for _, h := range s.Regions {
		for _, r := range s.Regions {
			w := float64(s.plan.Route(service, h.Name).PointCount(r.Name)) / route.TotalPoints
			s.callerShares[h.Name+r.Name] += f * (w - s.callerShares[h.Name+r.Name])
		}
	}
	s.history = append(s.history, s.measure())
	s.clock.Advance(tick)
}

func (s *simulation) measure() []observation.Observation {
	t := 0.0
	for _, h := range s.Regions {
		t += h.Demand
	}
	var r []observation.Observation
	for _, x := range s.Regions {
		o := observation.Observation{Service: service, Region: x.Name, Alive: !s.lastEvents[x.Name].Lost, Slots: x.Slots, Callers: x.Demand / t, Latency: 20 * time.Millisecond}
		for _, h := range s.Regions {
			o.Demand += h.Demand * s.callerShares[h.Name+x.Name]
		}
		e := s.lastEvents[x.Name]
		if e.Failing {
			o.Failures = 0.5
		}
		o.Latency += e.Cold
		r = append(r, o)
	}
	return r
}

func (s *simulation) observe() []observation.Observation {
	i := len(s.history) - 1 - int(s.Lag/tick)
	return s.history[max(i, 0)]
}

// run returns one line for each new plan and one for each minute.
func (s *simulation) run(t must.T) string {
	p := s.start()
	var b bytes.Buffer
	var v uint64
	for at := time.Duration(0); at < s.For; at += tick {
		s.step(at)
		must.NoError(t, p.Tick(context.Background()))
		if s.plan != nil && s.plan.Version > v {
			v = s.plan.Version
			fmt.Fprintf(&b, "%6s plan %d: %s\n", at, v, s.plan.Reason)
		}
		if at%time.Minute == 0 {
			fmt.Fprintf(&b, "%6s demand", at)
			for _, o := range s.measure() {
				fmt.Fprintf(&b, "  %s %.0f/%d", o.Region, o.Demand, o.Slots)
			}
			fmt.Fprintln(&b)
		}
	}
	return b.String()
}

// Each file holds a simulation and its trace: the steps that the planner took
// and the load of the regions.
func TestSimulationTraces(t *testing.T) {
	golden.Run(t, func(t *testing.T, p [][]byte) string {
		var s simulation
		must.NoError(t, codec.Unmarshal(p[0], &s))
		return s.run(t)
	})
}

// If the planner exceeds the cap, too many callers meet cold caches at once.
// For any demand, capacity, drain, failure, cold cache and lag, the callers
// whose region now differs from their region at any one time within the last
// ShiftInterval do not exceed the cap, and each route covers all points.
func TestShiftsStayUnderTheirCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSimulation(t)
		p := s.start()
		var h []*plan.Plan
		for at := time.Duration(0); at < s.For; at += tick {
			s.step(at)
			must.NoError(t, p.Tick(context.Background()))
			h = append(h, s.plan)
			for i := max(0, len(h)-int(s.preset.ShiftInterval/tick)); i < len(h); i++ {
				must.LessEq(t, s.preset.ShiftCap+1e-5, s.movedByPlan(h[i], s.plan), must.Sprintf("at %s", at))
			}
		}
	})
}

// Plans and failover together do not exceed the cap when regions are lost and
// recover. A caller counts as moved if the plan changes its region, or if its
// region is lost and failover moves it out or back.
func TestPlansAndFailoverStayUnderTheCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSimulation(t)
		for i := range s.Events {
			s.Events[i].Lost = rapid.Bool().Draw(t, "lost")
		}
		p := s.start()
		f := &failover.Failover{
			Clock: s.clock, Preset: func() preset.Preset { return s.preset }, Share: s.share,
			FreeCapacity: func(string) float64 { return 1 },
		}
		p.FailoverIdle = func() bool { return f.IdleFor(s.preset.ShiftInterval) }
		publish := p.Publish
		p.Publish = func(ctx context.Context, v uint64, n *plan.Plan) (bool, error) {
			f.RecordPlan()
			return publish(ctx, v, n)
		}
		var h []steering
		for at := time.Duration(0); at < s.For; at += tick {
			s.step(at)
			must.NoError(t, p.Tick(context.Background()))
			m := make(map[string]int)
			for _, r := range s.Regions {
				f.Tick(service, r.Name, !s.lastEvents[r.Name].Lost)
				m[r.Name] = f.MovedPoints(service, r.Name)
			}
			h = append(h, steering{plan: s.plan, moved: m})
			for i := max(0, len(h)-int(s.preset.ShiftInterval/tick)); i < len(h); i++ {
				must.LessEq(t, s.preset.ShiftCap+1e-5, s.movedFraction(h[i], h[len(h)-1]), must.Sprintf("at %s", at))
			}
		}
	})
}

// steering is the plan and the failover state at some time.
type steering struct {
	plan  *plan.Plan
	moved map[string]int
}

func (s *simulation) share(service, region string) float64 {
	c := make(map[string]float64)
	for _, o := range s.measure() {
		c[o.Region] = o.Callers
	}
	return s.plan.Share(service, region, c)
}

// movedFraction returns the fraction of callers whose region differs between
// two times.
func (s *simulation) movedFraction(a, b steering) float64 {
	m := 0.0
	for _, o := range s.measure() {
		x, y := a.plan.Route(service, o.Region), b.plan.Route(service, o.Region)
		for k := 0; k < route.TotalPoints; {
			i, j := x.Find(k), y.Find(k)
			e := min(i.Until, j.Until)
			d := 1.0
			if i.Region == j.Region {
				d = math.Abs(float64(a.moved[i.Region]-b.moved[i.Region])) / route.TotalPoints
			}
			m += o.Callers * d * float64(e-k) / route.TotalPoints
			k = e
		}
	}
	return m
}

func drawSimulation(t *rapid.T) *simulation {
	s := &simulation{For: 10 * time.Minute, Lag: time.Duration(rapid.IntRange(0, 6).Draw(t, "lag")) * tick}
	s.preset = preset.Preset{
		Name: "Drawn", ShiftCap: rapid.Float64Range(0.01, 0.5).Draw(t, "cap"), Headroom: 0.2,
		ShiftInterval: time.Duration(rapid.IntRange(1, 12).Draw(t, "interval")) * tick,
		LookupTTL:     time.Duration(rapid.IntRange(1, 12).Draw(t, "ttl")) * tick,
	}
	for _, n := range []string{"abuja", "lagos", "port-harcourt"} {
		s.Regions = append(s.Regions, simulatedRegion{Name: n, Slots: rapid.IntRange(1, 300).Draw(t, "slots"), Demand: rapid.Float64Range(1, 300).Draw(t, "demand")})
	}
	for range rapid.IntRange(0, 6).Draw(t, "events") {
		s.Events = append(s.Events, event{
			At:     time.Duration(rapid.IntRange(0, 100).Draw(t, "at")) * tick,
			Region: s.Regions[rapid.IntRange(0, 2).Draw(t, "region")].Name, Draining: rapid.Bool().Draw(t, "draining"),
			Failing: rapid.Bool().Draw(t, "failing"), Cold: time.Duration(rapid.IntRange(0, 1).Draw(t, "cold")) * time.Second,
		})
	}
	return s
}

// movedByPlan returns the fraction of callers whose region differs between two
// plans.
func (s *simulation) movedByPlan(a, b *plan.Plan) float64 {
	m := 0.0
	for _, o := range s.measure() {
		x, y := a.Route(service, o.Region), b.Route(service, o.Region)
		for k := 0; k < route.TotalPoints; {
			i, j := x.Find(k), y.Find(k)
			if i.Region != j.Region {
				m += o.Callers * float64(min(i.Until, j.Until)-k) / route.TotalPoints
			}
			k = min(i.Until, j.Until)
		}
	}
	return m
}

// A failure domain in a region with half of the callers is drained and restored
// four minutes later. Its weight changes by a fifth per interval, which moves a
// tenth of all callers, the cap.
func TestDomainDrainsInSteps(t *testing.T) {
	s := &simulation{Regions: []simulatedRegion{{Name: "abuja", Slots: 100, Demand: 40}, {Name: "lagos", Slots: 100, Demand: 40}}}
	p := s.start()
	d := domain.Domain{Name: "lagos-1", Region: "lagos"}
	p.Domains = func() []domain.Domain { return []domain.Domain{d} }
	var w []int
	for at := time.Duration(0); at < 8*time.Minute; at += tick {
		s.step(at)
		d.Draining = at >= time.Minute && at < 5*time.Minute
		must.NoError(t, p.Tick(context.Background()))
		if at%(30*time.Second) == 0 {
			w = append(w, int(100*s.plan.Weight("lagos-1")+0.5))
		}
	}
	must.Eq(t, []int{100, 100, 80, 60, 40, 20, 0, 0, 0, 0, 20, 40, 60, 80, 100, 100}, w)
}
