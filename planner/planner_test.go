package planner_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/rogpeppe/go-internal/txtar"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/domain"
	"celeryreach.example/celeryreach/failover"
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

// place is one region of a simulation.
type place struct {
	// Name is the region.
	Name string
	// Slots is its capacity.
	Slots int
	// Demand is how many requests its callers have running at once.
	Demand float64
}

// event changes a region at some time.
type event struct {
	// At is the time since the start.
	At time.Duration
	// Region is the region.
	Region string
	// Demand, if set, is its callers' new demand.
	Demand float64 `json:",omitzero"`
	// Draining and Failing begin with the event and end with the next one.
	Draining bool `json:",omitzero"`
	// Lost begins with the event: no host of the region is heard.
	Lost bool `json:",omitzero"`
	// Failing makes half of its answers failures.
	Failing bool `json:",omitzero"`
	// Cold is the latency of callers that are new to it, while they are few.
	Cold time.Duration `json:",omitzero"`
}

// simulation is a set of regions whose callers keep look-up answers for the
// time to live and whose measurements lag.
type simulation struct {
	// Regions are the regions.
	Regions []place
	// Events happen in order.
	Events []event
	// Lag delays every observation.
	Lag time.Duration
	// For is how long to run.
	For time.Duration

	clock  *clockwork.FakeClock
	plan   *plan.Plan
	carry  map[string]float64 // callers of each home and region, as they are
	state  map[string]event
	past   [][]observation.Observation
	preset preset.Preset
}

func (s *simulation) start() *planner.Planner {
	s.clock = clockwork.NewFakeClock()
	s.carry = make(map[string]float64)
	s.state = make(map[string]event)
	if s.preset.Name == "" {
		s.preset = preset.Preset{Name: "Ordinary", ShiftCap: 0.1, ShiftInterval: 30 * time.Second, Headroom: 0.2, LookupTTL: 30 * time.Second}
	}
	for _, r := range s.Regions {
		s.carry[r.Name+r.Name] = 1
	}
	return &planner.Planner{
		Clock: s.clock, Log: log.New(io.Discard), Lag: s.Lag, Preset: func() preset.Preset { return s.preset },
		Draining: func() map[string]bool {
			m := make(map[string]bool)
			for k, v := range s.state {
				m[k] = v.Draining
			}
			return m
		},
		Domains: func() []domain.Domain { return nil }, Observe: s.observe, Current: func() *plan.Plan { return s.plan },
		Held: func() (uint64, bool) { return 1, true },
		Publish: func(_ context.Context, _ uint64, p *plan.Plan) (bool, error) {
			s.plan = p
			return true, nil
		},
	}
}

// step lets time pass: each caller asks again once in a time to live.
func (s *simulation) step(at time.Duration) {
	for _, e := range s.Events {
		if e.At == at {
			s.state[e.Region] = e
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
			w := float64(s.plan.Route(service, h.Name).Share(r.Name)) / route.Points
			s.carry[h.Name+r.Name] += f * (w - s.carry[h.Name+r.Name])
		}
	}
	s.past = append(s.past, s.measure())
	s.clock.Advance(tick)
}

func (s *simulation) measure() []observation.Observation {
	t := 0.0
	for _, h := range s.Regions {
		t += h.Demand
	}
	var r []observation.Observation
	for _, x := range s.Regions {
		o := observation.Observation{Service: service, Region: x.Name, Alive: !s.state[x.Name].Lost, Slots: x.Slots, Callers: x.Demand / t, Latency: 20 * time.Millisecond}
		for _, h := range s.Regions {
			o.Demand += h.Demand * s.carry[h.Name+x.Name]
		}
		e := s.state[x.Name]
		if e.Failing {
			o.Failures = 0.5
		}
		o.Latency += e.Cold
		r = append(r, o)
	}
	return r
}

func (s *simulation) observe() []observation.Observation {
	i := len(s.past) - 1 - int(s.Lag/tick)
	return s.past[max(i, 0)]
}

// run returns one line for each change of the plan and one each minute.
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

// Each file holds a simulation and its trace: which steps the planner took and
// how the regions were loaded.
func TestTraces(t *testing.T) {
	f, err := filepath.Glob("testdata/*.txtar")
	must.NoError(t, err)
	must.SliceNotEmpty(t, f)
	for _, n := range f {
		t.Run(filepath.Base(n), func(t *testing.T) {
			a, err := txtar.ParseFile(n)
			must.NoError(t, err)
			var s simulation
			must.NoError(t, codec.Unmarshal(a.Files[0].Data, &s))
			r := s.run(t)
			if os.Getenv("UPDATE") != "" {
				a.Files[1].Data = []byte(r)
				must.NoError(t, os.WriteFile(n, txtar.Format(a), 0o600))
				return
			}
			must.EqOp(t, string(a.Files[1].Data), r)
		})
	}
}

// What callers see if this fails: more of them than the cap meet cold caches
// at once. For any demand, capacity, drain, failure, cold cache and lag, no
// more callers than the cap may have another region than at any time within
// the last ShiftInterval, and each route covers all points.
func TestShiftsStayUnderTheirCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := draw(t)
		p := s.start()
		var h []*plan.Plan
		for at := time.Duration(0); at < s.For; at += tick {
			s.step(at)
			must.NoError(t, p.Tick(context.Background()))
			h = append(h, s.plan)
			for i := max(0, len(h)-int(s.preset.ShiftInterval/tick)); i < len(h); i++ {
				must.LessEq(t, s.preset.ShiftCap+1e-5, s.moved(h[i], s.plan), must.Sprintf("at %s", at))
			}
		}
	})
}

// The same holds for plans and failover together, when regions are lost and
// come back: a caller counts as moved if its region differs by the plan, or if
// its region is lost and its turn to leave or to return has come.
func TestPlansAndFailoverStayUnderTheCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := draw(t)
		for i := range s.Events {
			s.Events[i].Lost = rapid.Bool().Draw(t, "lost")
		}
		p := s.start()
		f := &failover.Failover{
			Clock: s.clock, Preset: func() preset.Preset { return s.preset }, Share: s.share,
			Room: func(string) float64 { return 1 },
		}
		p.Quiet = func() bool { return f.Quiet(s.preset.ShiftInterval) }
		publish := p.Publish
		p.Publish = func(ctx context.Context, v uint64, n *plan.Plan) (bool, error) {
			f.Planned()
			return publish(ctx, v, n)
		}
		var h []moment
		for at := time.Duration(0); at < s.For; at += tick {
			s.step(at)
			must.NoError(t, p.Tick(context.Background()))
			m := make(map[string]int)
			for _, r := range s.Regions {
				f.Tick(service, r.Name, !s.state[r.Name].Lost)
				m[r.Name] = f.Moved(service, r.Name)
			}
			h = append(h, moment{plan: s.plan, moved: m})
			for i := max(0, len(h)-int(s.preset.ShiftInterval/tick)); i < len(h); i++ {
				must.LessEq(t, s.preset.ShiftCap+1e-5, s.apart(h[i], h[len(h)-1]), must.Sprintf("at %s", at))
			}
		}
	})
}

// moment is where callers go at some time.
type moment struct {
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

// apart returns the part of the callers that go elsewhere than before.
func (s *simulation) apart(a, b moment) float64 {
	m := 0.0
	for _, o := range s.measure() {
		x, y := a.plan.Route(service, o.Region), b.plan.Route(service, o.Region)
		for k := 0; k < route.Points; {
			i, j := x.Find(k), y.Find(k)
			e := min(i.Until, j.Until)
			d := 1.0
			if i.Region == j.Region {
				d = math.Abs(float64(a.moved[i.Region]-b.moved[i.Region])) / route.Points
			}
			m += o.Callers * d * float64(e-k) / route.Points
			k = e
		}
	}
	return m
}

func draw(t *rapid.T) *simulation {
	s := &simulation{For: 10 * time.Minute, Lag: time.Duration(rapid.IntRange(0, 6).Draw(t, "lag")) * tick}
	s.preset = preset.Preset{
		Name: "Drawn", ShiftCap: rapid.Float64Range(0.01, 0.5).Draw(t, "cap"), Headroom: 0.2,
		ShiftInterval: time.Duration(rapid.IntRange(1, 12).Draw(t, "interval")) * tick,
		LookupTTL:     time.Duration(rapid.IntRange(1, 12).Draw(t, "ttl")) * tick,
	}
	for _, n := range []string{"abuja", "lagos", "port-harcourt"} {
		s.Regions = append(s.Regions, place{Name: n, Slots: rapid.IntRange(1, 300).Draw(t, "slots"), Demand: rapid.Float64Range(1, 300).Draw(t, "demand")})
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

// moved returns the part of the callers whose region differs between two plans.
func (s *simulation) moved(a, b *plan.Plan) float64 {
	m := 0.0
	for _, o := range s.measure() {
		x, y := a.Route(service, o.Region), b.Route(service, o.Region)
		for k := 0; k < route.Points; {
			i, j := x.Find(k), y.Find(k)
			if i.Region != j.Region {
				m += o.Callers * float64(min(i.Until, j.Until)-k) / route.Points
			}
			k = min(i.Until, j.Until)
		}
	}
	return m
}

// Operators drain a failure domain in a region that has half of the callers,
// and end the drain four minutes later. Its weight falls and rises by a fifth
// an interval, which is a tenth of all callers, the cap.
func TestDomainDrainsInSteps(t *testing.T) {
	s := &simulation{Regions: []place{{Name: "abuja", Slots: 100, Demand: 40}, {Name: "lagos", Slots: 100, Demand: 40}}}
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
