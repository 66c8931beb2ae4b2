// Package objective describes service-level objectives.
package objective

import "time"

// Objective is what operators promise of a service; the burn report compares
// against it.
type Objective struct {
	// Service is the service the objective is about.
	Service string
	// Latency is the time within which LatencyFraction of answers begin.
	Latency time.Duration
	// LatencyFraction is the promised part of timely answers, in 0..1.
	LatencyFraction float64
	// WholeFraction is the promised part of waiting callers that get a whole
	// answer, in 0..1.
	WholeFraction float64
	// WrongfulFraction is the tolerated part of in-rate requests that are
	// refused, in 0..1.
	WrongfulFraction float64
	// WorstShare is the promised share of its due for the worst-served client
	// account, in 0..1.
	WorstShare float64 `json:",omitzero"`
	// Headroom is the promised fraction of free slots, in 0..1.
	Headroom float64 `json:",omitzero"`
	// DrainTime is the promised time until a draining backend server is idle.
	DrainTime time.Duration `json:",omitzero"`
}
