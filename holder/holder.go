// Package holder identifies the processes that hold parts of limits.
package holder

// Holder is one process. A replacement process under the same name is a
// different holder.
type Holder struct {
	// Name is the name of the host.
	Name string
	// Incarnation distinguishes the process from others under the same name.
	Incarnation uint64
	// Domain is the failure domain of the host.
	Domain string
	// Region is the region of the host.
	Region string
}
