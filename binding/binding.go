// Package binding tells how much of each region is left to requests that may be served
// anywhere. A large account that may be served in one region only can need all of it,
// while others stand half idle; requests that are free to go there must not take the
// rest, and least the memory of its backend servers.
package binding

import (
	"math"
	"time"
)

const (
	// span is over what time requests are counted, several times as long as most
	// troubles last: each change of a region's weight moves objects, and the first
	// answer on an object at a new place is late.
	span = 30 * time.Second
	// prior is how many free requests are taken for counted at the start, so that the
	// first few that come do not decide.
	prior = 40
	// least is the part of a region that is left to free requests however much is
	// bound to it. Hosts then keep knowing how it does.
	least = 0.05
	// step is the least change of a part that counts. Smaller ones would move objects
	// to and fro, on each host at another time.
	step = 0.2
)

// Binding counts the requests for one service, as this host sees them. It is not safe
// for use by several goroutines: its owner's lock guards it.
type Binding struct {
	// Changed is told when another part of a region is left; nil means nobody is.
	Changed func(region string, left float64)

	regions map[string]*region
	slots   float64 // of all regions
	all     float64 // requests
	counted time.Time
}

type region struct {
	slots float64
	bound float64 // requests that must be served here
	left  float64 // the part that is left to others, as it is used
}

// Fit takes the slots of each region's backend servers. What was counted is kept.
func (b *Binding) Fit(slots map[string]int) {
	o := b.regions
	b.regions, b.slots = make(map[string]*region), 0
	for n, s := range slots {
		r := o[n]
		if r == nil {
			r = &region{left: 1}
		}
		r.slots = float64(s)
		b.regions[n] = r
		b.slots += r.slots
	}
	b.weigh()
}

// Count takes a request that may be served in the regions of homes; nil means all.
func (b *Binding) Count(homes func(region string) bool, now time.Time) {
	b.age(now)
	b.all++
	b.bind(homes)
	b.weigh()
}

// bind counts a request for the regions that may serve it, unless all may.
func (b *Binding) bind(homes func(region string) bool) {
	if homes == nil {
		return
	}
	var s float64
	for n, r := range b.regions {
		if homes(n) {
			s += r.slots
		}
	}
	if s == b.slots {
		return
	}
	for n, r := range b.regions {
		if homes(n) {
			r.bound += r.slots / s
		}
	}
}

// Left returns the part of a region that is left to requests which may be served
// anywhere, of 1.
func (b *Binding) Left(name string) float64 {
	if r := b.regions[name]; r != nil {
		return r.left
	}
	return 1
}

// age forgets what was counted long ago.
func (b *Binding) age(now time.Time) {
	if b.counted.IsZero() {
		b.all = prior
	} else {
		f := math.Exp(-float64(now.Sub(b.counted)) / float64(span))
		b.all *= f
		for _, r := range b.regions {
			r.bound *= f
		}
	}
	b.counted = now
}

// weigh compares each region's part of the requests, those that are bound to it, with
// its part of the slots.
func (b *Binding) weigh() {
	for n, r := range b.regions {
		l := 1.0
		if r.bound > 0 {
			l = max(1-(r.bound/b.all)/(r.slots/b.slots), least)
		}
		if math.Abs(l-r.left) <= step {
			continue
		}
		r.left = l
		if b.Changed != nil {
			b.Changed(n, l)
		}
	}
}
