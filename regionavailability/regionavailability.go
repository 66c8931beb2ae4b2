// Package regionavailability computes which fraction of each region is available to
// requests that may be served in any region. A large account that is restricted to one
// region may need all of that region while other regions are half idle. Unrestricted
// requests must then not use the capacity of that region, in particular not the memory of
// its backend servers.
package regionavailability

import (
	"math"
	"time"

	"celeryreach.example/celeryreach/homes"
)

const (
	// decayTime is the time constant with which counted requests lose weight. It is
	// several times as long as most disturbances: each change of a region's weight
	// moves objects to other backend servers, and the first answer for an object at its
	// new place is slow.
	decayTime = 30 * time.Second
	// initialFreeRequests is the number of unrestricted requests that count as received
	// at the start, so that the first few requests do not decide.
	initialFreeRequests = 40
	// minAvailable is the fraction of a region that stays available to unrestricted requests
	// regardless of the demand of restricted ones, so that hosts keep measuring the
	// region.
	minAvailable = 0.05
	// minChange is the smallest change of a fraction that takes effect. Smaller changes
	// would move objects back and forth, at different times on each host.
	minChange = 0.2
)

// Regionavailability counts the requests for one service that this host receives. It is
// not safe for concurrent use; the owner must hold its lock.
type Regionavailability struct {
	// OnChange is called when the available fraction of a region changes. It may be nil.
	OnChange func(region string, available float64)

	regions   map[string]*region
	slots     float64 // of all regions
	requests  float64
	countedAt time.Time
}

type region struct {
	slots      float64
	restricted float64 // requests that are restricted to this region
	available  float64 // the available fraction that is in effect
}

// SetSlots sets the number of slots of each region. Counted requests are kept.
func (b *Regionavailability) SetSlots(slots map[string]int) {
	o := b.regions
	b.regions, b.slots = make(map[string]*region), 0
	for n, s := range slots {
		r := o[n]
		if r == nil {
			r = &region{available: 1}
		}
		r.slots = float64(s)
		b.regions[n] = r
		b.slots += r.slots
	}
	b.updateAvailable()
}

// Count counts a request with the given homes.
func (b *Regionavailability) Count(h homes.Homes, now time.Time) {
	b.decay(now)
	b.requests++
	b.countRestricted(h)
	b.updateAvailable()
}

// countRestricted counts a request for the regions that may serve it, unless all regions
// may serve it.
func (b *Regionavailability) countRestricted(h homes.Homes) {
	if !h.Bound {
		return
	}
	var s float64
	for n, r := range b.regions {
		if h.Allows(n) {
			s += r.slots
		}
	}
	if s == b.slots {
		return
	}
	for n, r := range b.regions {
		if h.Allows(n) {
			r.restricted += r.slots / s
		}
	}
}

// Available returns the fraction of a region, in 0..1, that is available to requests
// which may be served anywhere.
func (b *Regionavailability) Available(name string) float64 {
	if r := b.regions[name]; r != nil {
		return r.available
	}
	return 1
}

// decay reduces the weight of earlier requests by the time that has passed.
func (b *Regionavailability) decay(now time.Time) {
	if b.countedAt.IsZero() {
		b.requests = initialFreeRequests
	} else {
		f := math.Exp(-float64(now.Sub(b.countedAt)) / float64(decayTime))
		b.requests *= f
		for _, r := range b.regions {
			r.restricted *= f
		}
	}
	b.countedAt = now
}

// updateAvailable compares each region's share of the requests, counting those restricted to
// it, with its share of the slots.
func (b *Regionavailability) updateAvailable() {
	for n, r := range b.regions {
		l := 1.0
		if r.restricted > 0 {
			l = max(1-(r.restricted/b.requests)/(r.slots/b.slots), minAvailable)
		}
		if math.Abs(l-r.available) <= minChange {
			continue
		}
		r.available = l
		if b.OnChange != nil {
			b.OnChange(n, l)
		}
	}
}
