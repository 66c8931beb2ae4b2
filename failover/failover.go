// Package failover steers the callers of a lost region to other regions in
// steps of limited size. It works without a planner, since the platform may run
// in the lost region, and a planner needs the platform.
package failover

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/preset"
	"celeryreach.example/celeryreach/route"
)

// Failover holds, for each service and region, the part of the region's callers
// that is steered to other regions. Each host decides without the others. All
// hosts take the same steps from about the same time and move the same client
// blocks, so their parts differ by at most one step.
type Failover struct {
	// Clock paces the steps.
	Clock clockwork.Clock
	// Preset returns the policy in force.
	Preset func() preset.Preset
	// Share returns the fraction of a service's callers that is steered to
	// a region.
	Share func(service, region string) float64
	// FreeCapacity returns the fraction of a service's callers that the regions
	// that are alive can take without exceeding their limits.
	FreeCapacity func(service string) float64

	mu       sync.Mutex
	states   map[regionKey]*regionState
	lastPlan time.Time
}

type regionKey struct {
	service, region string
}

type regionState struct {
	movedPoints int
	lastStep    time.Time
	lastPending time.Time // when a step was last needed
}

// RecordPlan records that a plan has just moved callers. The next step is delayed
// by an interval, since both together could exceed the cap.
func (f *Failover) RecordPlan() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastPlan = f.Clock.Now()
}

// IdleFor reports whether no step was taken within the last d.
func (f *Failover) IdleFor(d time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.states {
		if f.Clock.Since(s.lastStep) < d {
			return false
		}
	}
	return true
}

// MovedPoints returns how many points of a region's callers are steered to other
// regions.
func (f *Failover) MovedPoints(service, region string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.states[regionKey{service: service, region: region}]; s != nil {
		return s.movedPoints
	}
	return 0
}

// RaisePoints raises the number of moved points to that of a peer if the peer has
// moved more. Otherwise a host that starts while a region is lost would begin at
// zero, and its look-up answers would steer moved callers back to the lost region.
func (f *Failover) RaisePoints(service, region string, points int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.stateOf(service, region)
	if points > s.movedPoints {
		s.movedPoints = min(points, route.TotalPoints)
		s.lastStep = f.Clock.Now()
	}
}

// ForEachMoved calls do for each service and region with callers that are
// steered to other regions.
func (f *Failover) ForEachMoved(do func(service, region string, points int)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for k, s := range f.states {
		if s.movedPoints > 0 {
			do(k.service, k.region, s.movedPoints)
		}
	}
}

// Tick takes a step if one is due. Steps move callers out of a region while it
// is lost, and back when it is alive again. The return takes steps too, because
// the region's caches are cold by then.
func (f *Failover) Tick(service, region string, alive bool) {
	h, m := f.Share(service, region), f.FreeCapacity(service)
	f.mu.Lock()
	defer f.mu.Unlock()
	if alive && f.states[regionKey{service: service, region: region}] == nil {
		return
	}
	s := f.stateOf(service, region)
	p := f.Preset()
	n := f.Clock.Now()
	c := p.ShiftCap
	if !alive {
		c = min(c, m)
	}
	k := int(c / max(h, c, 1e-9) * route.TotalPoints)
	if alive && s.movedPoints > 0 || !alive && s.movedPoints < route.TotalPoints && k > 0 {
		s.lastPending = n
	}
	i := p.ShiftInterval
	if n.Sub(f.lastPlan) < i || !f.mayStep(service, s, n, i) {
		return
	}
	if alive && s.movedPoints == 0 {
		delete(f.states, regionKey{service: service, region: region})
		return
	}
	s.step(k, alive, n)
}

// step moves k points, out of the region if it is lost and back otherwise.
func (s *regionState) step(k int, alive bool, now time.Time) {
	o := s.movedPoints
	if alive {
		k = -k
	}
	s.movedPoints = min(route.TotalPoints, max(0, s.movedPoints+k))
	if s.movedPoints != o {
		s.lastStep = now
	}
}

// mayStep reports whether a region may take the service's next step. The cap
// applies to the service: two regions that are lost at the same time share it,
// and the region that has waited longest takes its step first.
func (f *Failover) mayStep(service string, s *regionState, now time.Time, interval time.Duration) bool {
	for k, o := range f.states {
		if k.service != service {
			continue
		}
		if now.Sub(o.lastStep) < interval || now.Sub(o.lastPending) < interval && o.lastStep.Before(s.lastStep) {
			return false
		}
	}
	return true
}

func (f *Failover) stateOf(service, region string) *regionState {
	if f.states == nil {
		f.states = make(map[regionKey]*regionState)
	}
	k := regionKey{service: service, region: region}
	s := f.states[k]
	if s == nil {
		s = new(regionState)
		f.states[k] = s
	}
	return s
}
