// Package region describes regions.
package region

// Region is a group of failure domains with little latency between them.
type Region struct {
	// Name identifies the region.
	Name string
	// Draining is set by operators to steer new callers to other regions.
	Draining bool `json:",omitzero"`
}
