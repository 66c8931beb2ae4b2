// Package answer describes what a look-up returns.
package answer

import "time"

// Answer names the entry hosts that a caller should use.
type Answer struct {
	// EntryHosts are caller addresses, best first.
	EntryHosts []string
	// TTL is how long the caller may keep the answer.
	TTL time.Duration
	// Region is the region that the caller is steered to.
	Region string `json:",omitzero"`
	// ConfigVersion is the version of the configuration behind the answer.
	ConfigVersion uint64
	// PlanVersion is the version of the plan behind the answer.
	PlanVersion uint64 `json:",omitzero"`
}
