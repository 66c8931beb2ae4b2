// Package preset describes the named sets of policy that operators switch
// between.
package preset

import "time"

// Preset is one set of policy. Exactly one is in force.
type Preset struct {
	// Name identifies the preset.
	Name string
	// ShiftCap is the greatest fraction of a service's callers that one shift
	// moves between regions, in 0..1.
	ShiftCap float64
	// ShiftInterval is the least time between two shifts.
	ShiftInterval time.Duration
	// Headroom is the fraction of a region's slots that plans keep free.
	Headroom float64
	// GrowthCap is the greatest relative growth of admitted traffic from
	// elsewhere that a failure domain accepts in a ShiftInterval, in 0..1.
	GrowthCap float64
	// FloorFraction is the part of each limit that failure domains hold
	// permanently; the rest is leased.
	FloorFraction float64
	// MaxWait is the longest time a request waits for a slot or a token.
	MaxWait time.Duration
	// LookupTTL is how long callers may keep a look-up answer.
	LookupTTL time.Duration
	// RetryBudget is the greatest ratio of second tries to first tries.
	RetryBudget float64
}
