// Package failover steers the callers of a lost region to the others, in
// capped steps and without a planner: the region that is lost may be the one
// that has the platform.
package failover

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/preset"
	"celeryreach.example/celeryreach/route"
)

// Failover holds, for each service and region, which part of the region's
// callers is steered elsewhere. Every host decides alone; since all follow the
// same steps from about the same moment and move the same client blocks, the
// parts differ by one step at most.
type Failover struct {
	// Clock paces the steps.
	Clock clockwork.Clock
	// Preset returns the policy in force.
	Preset func() preset.Preset
	// Share returns the part of a service's callers that a region has.
	Share func(service, region string) float64
	// Room returns the part of a service's callers that the regions that are
	// heard can take without going over their limits.
	Room func(service string) float64

	mu      sync.Mutex
	regions map[key]*state
	planned time.Time
}

type key struct {
	service, region string
}

type state struct {
	points int
	at     time.Time
	wanted time.Time // when it last had a step to take
}

// Planned notes that a plan has just moved callers. The next step waits its
// interval from then, or both together would go over the cap.
func (f *Failover) Planned() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.planned = f.Clock.Now()
}

// Quiet reports whether no step was taken for a time.
func (f *Failover) Quiet(d time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.regions {
		if f.Clock.Since(s.at) < d {
			return false
		}
	}
	return true
}

// Moved returns how many points of a region's callers are steered elsewhere.
func (f *Failover) Moved(service, region string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.regions[key{service: service, region: region}]; s != nil {
		return s.points
	}
	return 0
}

// Adopt takes over what a peer has moved. A host that starts while a region is
// lost would else begin anew, and send the callers that ask it back.
func (f *Failover) Adopt(service, region string, points int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state(service, region)
	if points > s.points {
		s.points = min(points, route.Points)
		s.at = f.Clock.Now()
	}
}

// Each calls do for each region with moved callers.
func (f *Failover) Each(do func(service, region string, points int)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for k, s := range f.regions {
		if s.points > 0 {
			do(k.service, k.region, s.points)
		}
	}
}

// Tick takes a step if one is due: out of a region while it is lost, and back
// when it is heard again, since its caches are cold then.
func (f *Failover) Tick(service, region string, alive bool) {
	h, m := f.Share(service, region), f.Room(service)
	f.mu.Lock()
	defer f.mu.Unlock()
	if alive && f.regions[key{service: service, region: region}] == nil {
		return
	}
	s := f.state(service, region)
	p := f.Preset()
	n := f.Clock.Now()
	c := p.ShiftCap
	if !alive {
		c = min(c, m)
	}
	k := int(c / max(h, c, 1e-9) * route.Points)
	if alive && s.points > 0 || !alive && s.points < route.Points && k > 0 {
		s.wanted = n
	}
	i := p.ShiftInterval
	if n.Sub(f.planned) < i || !f.turn(service, s, n, i) {
		return
	}
	if alive && s.points == 0 {
		delete(f.regions, key{service: service, region: region})
		return
	}
	s.step(k, alive, n)
}

// step moves k points, out while the region is lost and else back.
func (s *state) step(k int, alive bool, now time.Time) {
	o := s.points
	if alive {
		k = -k
	}
	s.points = min(route.Points, max(0, s.points+k))
	if s.points != o {
		s.at = now
	}
}

// turn reports whether a region may take the service's next step. The cap is
// the service's: two regions that are lost together share it, and the one that
// has waited longest goes first.
func (f *Failover) turn(service string, s *state, now time.Time, interval time.Duration) bool {
	for k, o := range f.regions {
		if k.service != service {
			continue
		}
		if now.Sub(o.at) < interval || now.Sub(o.wanted) < interval && o.at.Before(s.at) {
			return false
		}
	}
	return true
}

func (f *Failover) state(service, region string) *state {
	if f.regions == nil {
		f.regions = make(map[key]*state)
	}
	k := key{service: service, region: region}
	s := f.regions[k]
	if s == nil {
		s = new(state)
		f.regions[k] = s
	}
	return s
}
