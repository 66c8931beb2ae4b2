// Package observation describes what the planner knows of one service in one
// region.
package observation

import "time"

// Observation sums up what the hosts of a region count themselves.
type Observation struct {
	// Service is the service.
	Service string
	// Region is the region.
	Region string
	// Alive tells that a host of the region is heard.
	Alive bool
	// Slots is how many requests its backend servers run at once.
	Slots int
	// Demand is how many requests run or wait.
	Demand float64
	// Latency is the mean time to an answer lately, zero if nothing was asked.
	Latency time.Duration
	// Failures is the fraction of requests that failed lately, in 0..1.
	Failures float64
	// Callers is the fraction of the service's callers whose home is the
	// region, in 0..1, by look-ups.
	Callers float64
}
