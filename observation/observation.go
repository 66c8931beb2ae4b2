// Package observation describes the state of one service in one region for the
// planner.
package observation

import "time"

// Observation sums up the counts of the hosts of a region.
type Observation struct {
	// Service is the service.
	Service string
	// Region is the region.
	Region string
	// Alive is true if heartbeats of a host of the region are received.
	Alive bool
	// Slots is how many requests the region's backend servers run at once.
	Slots int
	// Demand is how many requests run or wait.
	Demand float64
	// Latency is the recent mean time to an answer, zero if there were no
	// requests.
	Latency time.Duration
	// Failures is the recent fraction of requests that failed, in 0..1.
	Failures float64
	// Callers is the fraction of the service's callers whose home is the
	// region, in 0..1, measured by look-ups.
	Callers float64
}
