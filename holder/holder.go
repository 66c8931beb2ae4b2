// Package holder names the processes that hold parts of limits.
package holder

// Holder is one process. A replacement under the same name is another holder.
type Holder struct {
	// Name is the host's name.
	Name string
	// Incarnation tells the process from others that had the name.
	Incarnation uint64
	// Domain is the failure domain of the host.
	Domain string
	// Region is the region of the host.
	Region string
}
