// Package region describes regions.
package region

// Region is a group of failure domains with little latency between them.
type Region struct {
	// Name identifies the region.
	Name string
	// Draining is set by operators: new callers are steered elsewhere.
	Draining bool `json:",omitzero"`
}
