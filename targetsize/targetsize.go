// Package targetsize defines the deployment size that the design has to support in
// about two years, as stated by the users.
package targetsize

import "time"

// Targetsize is the size of a deployment and its resource budgets for the control
// plane.
type Targetsize struct {
	// Hosts is the number of hosts.
	Hosts float64
	// Blocks is the number of client blocks.
	Blocks float64
	// Sites is the number of locations in which hosts are installed.
	Sites float64
	// Regions is the number of regions.
	Regions float64
	// Domains is the number of failure domains.
	Domains float64
	// Lookups is the number of look-ups per second over all hosts.
	Lookups float64
	// Changes is the number of configuration changes per second.
	Changes float64
	// PropagationTime is the time within which a change must take effect on all hosts.
	PropagationTime time.Duration
	// Core is the fraction of a CPU core that the control plane may use on a host.
	Core float64
	// Memory is the memory that the control plane may use on a host.
	Memory float64
	// Traffic is the number of bytes per second that a host may send for the
	// control plane.
	Traffic float64
	// StoreWrites is the number of writes per second that the platform accepts.
	StoreWrites float64
	// StoreReads is the number of reads per second that the platform accepts.
	StoreReads float64
	// Replacements is the number of hosts restarted or replaced per second.
	Replacements float64
}

const secondsPerDay = 24 * 60 * 60

// New returns the target that the users stated.
func New() Targetsize {
	return Targetsize{
		Hosts: 7_900, Blocks: 2_200_000, Sites: 850, Regions: 9, Domains: 27,
		Lookups: 3_300_000, Changes: 27_000.0 / secondsPerDay, PropagationTime: 13 * time.Second,
		Core: 0.029, Memory: 256 << 20, Traffic: 10_000,
		StoreWrites: 300, StoreReads: 2_000, Replacements: 2_230.0 / secondsPerDay,
	}
}
