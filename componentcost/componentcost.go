// Package componentcost defines a row in the table of roles of the capacity page.
package componentcost

// Componentcost is the cost of one role of the system, such as look-up or admission, at
// the target size. A figure of zero means that the role has no such cost.
type Componentcost struct {
	// Name is the name of the role, the first column of the table.
	Name string
	// Memory is the memory that the role uses on a host, in bytes.
	Memory float64
	// Messages is the number of messages per second that a host sends.
	Messages float64
	// Traffic is the number of control-plane bytes per second that a host sends.
	Traffic float64
	// Reads is the number of table reads per second by all hosts together.
	Reads float64
	// Writes is the number of table commits per second by all hosts together.
	Writes float64
	// Core is the fraction of a CPU core that the role uses on a host.
	Core float64
	// Mechanism describes the mechanism that supports the role at the target size.
	Mechanism string
	// Bottleneck describes why the present code would fail at the target size. It is
	// empty if the present code would work at that size.
	Bottleneck string
}
