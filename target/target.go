// Package target holds the size that the design has to carry in about two
// years, as the users stated it.
package target

import "time"

// Target is a size of deployment with its budgets for control.
type Target struct {
	// Nodes is the number of hosts.
	Nodes float64
	// Blocks is the number of client blocks.
	Blocks float64
	// Sites is the number of places that hosts stand in.
	Sites float64
	// Regions is the number of regions.
	Regions float64
	// Domains is the number of failure domains.
	Domains float64
	// Lookups is look-ups per second over all hosts.
	Lookups float64
	// Changes is configuration changes per second.
	Changes float64
	// InForce is the time within which a change is in force everywhere.
	InForce time.Duration
	// Core is the fraction of a core that a host may spend on control.
	Core float64
	// Bytes is the memory that a host may spend on control.
	Bytes float64
	// Traffic is the bytes per second that a host may spend on control.
	Traffic float64
	// StoreWrites is the writes per second that the platform takes.
	StoreWrites float64
	// StoreReads is the reads per second that the platform takes.
	StoreReads float64
	// Replaced is the hosts restarted or replaced per second.
	Replaced float64
}

const day = 24 * 60 * 60

// New returns the target.
func New() Target {
	return Target{
		Nodes: 7_900, Blocks: 2_200_000, Sites: 850, Regions: 9, Domains: 27,
		Lookups: 3_300_000, Changes: 27_000.0 / day, InForce: 13 * time.Second,
		Core: 0.029, Bytes: 256 << 20, Traffic: 10_000,
		StoreWrites: 300, StoreReads: 2_000, Replaced: 2_230.0 / day,
	}
}
