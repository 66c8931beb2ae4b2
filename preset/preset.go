// Package preset describes named sets of policy parameters that operators
// switch between.
package preset

import "time"

// Preset is one set of policy parameters. Exactly one preset is in force.
type Preset struct {
	// Name identifies the preset.
	Name string
	// ShiftCap is the maximum fraction of a service's callers that one shift
	// moves between regions, in 0..1.
	ShiftCap float64
	// ShiftInterval is the minimum time between two shifts.
	ShiftInterval time.Duration
	// Headroom is the fraction of a region's slots that plans keep free.
	Headroom float64
	// GrowthCap limits the traffic that a failure domain admits from other regions
	// and failure domains. It is the maximum relative growth of this traffic within
	// a ShiftInterval, in 0..1.
	GrowthCap float64
	// FloorFraction is the fraction of each limit that failure domains hold
	// permanently. The rest is leased.
	FloorFraction float64
	// MaxWait is the longest time that a request waits for a slot or a token.
	MaxWait time.Duration
	// LookupTTL is how long callers may cache a lookup answer.
	LookupTTL time.Duration
	// RetryBudget is the maximum ratio of retries to first attempts.
	RetryBudget float64
}
