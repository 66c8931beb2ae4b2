// Package backend describes the backend servers in the configuration.
package backend

import "time"

// Backend is one backend server. Only hosts in its failure domain connect to it.
type Backend struct {
	// Name identifies the backend server in the configuration.
	Name string
	// Domain is the name of the backend server's failure domain.
	Domain string
	// Service is the name of the service whose requests the backend server handles.
	Service string
	// Address is its TCP address, as IP:port.
	Address string
	// Slots is the number of requests that the backend server runs concurrently.
	Slots int
	// Connections is the number of open connections that the backend server accepts.
	Connections int
	// WarmUp is how long the backend server takes after its start to reach full speed.
	WarmUp time.Duration `json:",omitzero"`
	// Health is the path of its health endpoint; empty if it has none.
	Health string `json:",omitzero"`
	// Draining is set by operators. The backend server then receives no new requests.
	Draining bool `json:",omitzero"`
	// Region is the name of the region of its failure domain.
	Region string `json:",omitzero"`
	// ColdFor is how long the backend server remains cold, counted from the time at
	// which the entry was written.
	ColdFor time.Duration `json:",omitzero"`
	// Started is when its process started, in milliseconds since the Unix epoch. A
	// backend server that restarts under the same name has lost all state.
	Started int64 `json:",omitzero"`
	// Revision is the version of the store at which the entry was written.
	Revision uint64 `json:",omitzero"`
	// Sequence counts the reports of the process; zero means that it doesn't count them.
	Sequence int64 `json:"-"`
}
