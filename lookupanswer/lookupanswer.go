// Package lookupanswer describes the response to a look-up of entry hosts.
package lookupanswer

import "time"

// Lookupanswer names the entry hosts that a caller should use.
type Lookupanswer struct {
	// EntryHosts holds the addresses of the entry hosts for callers, best first.
	EntryHosts []string
	// TTL is how long the caller may cache the answer.
	TTL time.Duration
	// Region is the region that the caller is steered to.
	Region string `json:",omitzero"`
	// ConfigVersion is the version of the configuration that the answer is based on.
	ConfigVersion uint64
	// PlanVersion is the version of the routing plan that the answer is based on.
	PlanVersion uint64 `json:",omitzero"`
}
