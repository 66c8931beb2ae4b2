// Package objective describes service-level objectives.
package objective

import "time"

// Objective is the service level that operators promise for a service. The burn
// report compares measurements with it.
type Objective struct {
	// Service is the service that the objective applies to.
	Service string
	// Latency is the time within which LatencyFraction of answers begin.
	Latency time.Duration
	// LatencyFraction is the promised fraction of answers that begin within
	// Latency, in 0..1.
	LatencyFraction float64
	// WholeFraction is the promised fraction of waiting callers that receive a
	// complete answer, in 0..1.
	WholeFraction float64
	// WrongfulFraction is the tolerated fraction of requests within their rate
	// that are refused, in 0..1.
	WrongfulFraction float64
	// WorstShare is the promised fraction of its entitlement that the
	// worst-served client account receives, in 0..1.
	WorstShare float64 `json:",omitzero"`
	// Headroom is the promised fraction of free slots, in 0..1.
	Headroom float64 `json:",omitzero"`
	// DrainTime is the promised time until a draining backend server is idle.
	DrainTime time.Duration `json:",omitzero"`
}
