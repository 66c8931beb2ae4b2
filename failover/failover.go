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
	if n.Sub(s.at) < p.ShiftInterval || n.Sub(f.planned) < p.ShiftInterval {
		return
	}
	c := p.ShiftCap
	if !alive {
		c = min(c, m)
	}
	k := int(c / max(h, c, 1e-9) * route.Points)
	switch {
	case alive && s.points == 0:
		delete(f.regions, key{service: service, region: region})
	case alive:
		s.points = max(0, s.points-k)
		s.at = n
	case k > 0 && s.points < route.Points:
		s.points = min(route.Points, s.points+k)
		s.at = n
	}
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
