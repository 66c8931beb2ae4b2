package placementsimulation_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/placementsimulation"
)

// minGains lists, for the same arrivals, the minimum difference between the current policy
// and an earlier version or a baseline in the fraction of requests that are answered in time
// during the fault.
var minGains = []struct {
	fault, baseline string
	gain            float64
}{
	// Five of twelve backend servers go down. Requests that are sent to an arbitrary
	// one of the remaining seven find their objects uncached and need three times the
	// work. They keep all backend servers full as long as the load lasts.
	{placementsimulation.Lost, placementsimulation.Anywhere, 0.25},
	{placementsimulation.Lost, placementsimulation.Random, 0.25},
	{placementsimulation.Lost, placementsimulation.Affinity, 0.30},
	// The arrivals double at once. That is twice what can be served in time when no
	// object is cached, and as much as can be served when all are.
	{placementsimulation.Burst, placementsimulation.Anywhere, 0.40},
	{placementsimulation.Burst, placementsimulation.LeastLoaded, 0.60},
	{placementsimulation.Burst, placementsimulation.Affinity, 0.40},
	// Two backend servers become slow. Only their objects have to move.
	{placementsimulation.Slow, placementsimulation.Random, 0.15},
	{placementsimulation.Slow, placementsimulation.Affinity, 0.20},
	{placementsimulation.Slow, placementsimulation.Anywhere, -0.01},
	// No fault but the start.
	{placementsimulation.Calm, placementsimulation.LeastLoaded, 0.04},
	{placementsimulation.Calm, placementsimulation.Anywhere, -0.01},
}

func TestBetterThanBaselines(t *testing.T) {
	for _, g := range minGains {
		t.Run(g.fault+" against "+g.baseline, func(t *testing.T) {
			for _, s := range []uint64{1, 2, 3} {
				p, b := timely(s, g.fault, placementsimulation.Current), timely(s, g.fault, g.baseline)
				t.Logf("seed %d: %.3f, baseline %.3f", s, p, b)
				must.GreaterEq(t, g.gain, p-b)
			}
		})
	}
}

// Requests for an object arrive at the hosts of one region, so that each host knows
// where most of its objects are cached. Five of twelve backend servers are down from
// the start or go down later, which leaves few free slots in which to cache objects. A
// request that waits only for the backend server that has its object cached must fare
// better than one that takes the first free slot. When the arrivals double, the
// difference is small.
func TestCachedObjectsFirst(t *testing.T) {
	for _, x := range []struct {
		fault string
		gain  float64
	}{{placementsimulation.Short, 0.05}, {placementsimulation.Lost, 0.015}, {placementsimulation.Burst, 0}} {
		var g float64
		for _, s := range []uint64{1, 2, 3} {
			p, b := regional(s, x.fault, placementsimulation.Current), regional(s, x.fault, placementsimulation.Eager)
			t.Logf("%s, seed %d: %.3f, baseline %.3f", x.fault, s, p, b)
			g += p - b
		}
		must.GreaterEq(t, x.gain, g)
	}
}

func regional(seed uint64, fault, policy string) float64 {
	p := &placementsimulation.Placementsimulation{Seed: seed, Duration: 20 * time.Second, Policy: policy, Fault: fault, Regions: 3}
	p.Run()
	return p.Timely(0, 20*time.Second)
}

// A large account has callers in all regions but must be served in one region. It needs
// nine tenths of that region's capacity once its objects are cached there; the other
// regions are half idle. Requests of other accounts must go to the other regions.
// Otherwise one in ten answers of the large account is late permanently. Nine of ten
// answers must be in time, both for this account and for all requests together.
func TestRestrictedAccountHasCapacity(t *testing.T) {
	for _, s := range []uint64{0, 1, 2} {
		p := &placementsimulation.Placementsimulation{
			Seed: s, Duration: 20 * time.Second, Policy: placementsimulation.Current, Fault: placementsimulation.Restricted, Regions: 3,
		}
		p.Run()
		a, b := p.Timely(4*time.Second, 20*time.Second), p.RestrictedTimely(4*time.Second, 20*time.Second)
		t.Logf("seed %d: %.3f of all, %.3f of the restricted account", s, a, b)
		must.GreaterEq(t, 0.9, a)
		must.GreaterEq(t, 0.9, b)
	}
}

// Guards against queues of late requests that keep the backend servers busy after the
// fault has ended.
func TestRecovery(t *testing.T) {
	for _, x := range []string{placementsimulation.Slow, placementsimulation.Burst, placementsimulation.Lost} {
		p := run(1, x, placementsimulation.Current)
		must.GreaterEq(t, 0.95, p.Timely(14*time.Second, 20*time.Second))
	}
}

func run(seed uint64, fault, policy string) *placementsimulation.Placementsimulation {
	p := &placementsimulation.Placementsimulation{Seed: seed, Duration: 20 * time.Second, Policy: policy, Fault: fault}
	p.Run()
	return p
}

func timely(seed uint64, fault, policy string) float64 {
	return run(seed, fault, policy).Timely(4*time.Second, 12*time.Second)
}
