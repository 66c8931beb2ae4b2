// Package domain describes failure domains.
package domain

// Domain is a failure domain: hosts and backend servers that fail together and
// that a network partition can separate from all others.
type Domain struct {
	// Name identifies the failure domain.
	Name string
	// Region is the region that the failure domain belongs to.
	Region string
	// Draining is set by operators to steer new callers to other failure
	// domains.
	Draining bool `json:",omitzero"`
}
