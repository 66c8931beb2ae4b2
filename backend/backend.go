// Package backend describes the backend servers that operators list.
package backend

import "time"

// Backend is one backend server. Only hosts of its failure domain reach it.
type Backend struct {
	// Name identifies the backend server in the configuration.
	Name string
	// Domain is the failure domain it stands in.
	Domain string
	// Service is the service whose requests it answers.
	Service string
	// Address is its TCP address, IP and port.
	Address string
	// Slots is how many requests it runs at once.
	Slots int
	// Connections is how many open connections it accepts.
	Connections int
	// WarmUp is how long a new backend server takes to reach full speed.
	WarmUp time.Duration `json:",omitzero"`
	// Health is the path of its health endpoint; empty when it has none.
	Health string `json:",omitzero"`
	// Draining is set by operators: no new work.
	Draining bool `json:",omitzero"`
	// Region is the region of its failure domain.
	Region string `json:",omitzero"`
	// ColdFor is how long it stays cold from when this was written.
	ColdFor time.Duration `json:",omitzero"`
	// Started is when its process started, in milliseconds since 1970. A
	// backend server that starts again under its name has forgotten all.
	Started int64 `json:",omitzero"`
	// Revision is the version of the store at which this was written.
	Revision uint64 `json:",omitzero"`
}
