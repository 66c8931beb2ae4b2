// Package domain describes failure domains.
package domain

// Domain is a failure domain: hosts and backend servers that fail together and
// that a network partition can separate from all others.
type Domain struct {
	// Name identifies the failure domain.
	Name string
	// Region is the region it belongs to.
	Region string
	// Draining is set by operators: new callers are steered elsewhere.
	Draining bool `json:",omitzero"`
}
