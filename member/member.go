// Package member describes a host as seen by other hosts and callers.
package member

// Member is one running host.
type Member struct {
	// Name identifies the host.
	Name string
	// Incarnation is a random number chosen at each start of the process, so that a
	// replacement is not mistaken for the previous process of the same name.
	Incarnation uint64
	// Domain is the failure domain of the host.
	Domain string
	// Region is the region of the host.
	Region string
	// CallerAddress is the IP address and port for callers.
	CallerAddress string
	// PeerAddress is the IP address and port for other hosts.
	PeerAddress string
	// OperatorAddress is the IP address and port for operators.
	OperatorAddress string
	// Leaving is set while the host is shutting down and accepts no new work.
	Leaving bool `json:",omitzero"`
	// Starting is set while the host cannot serve callers yet, because it has no
	// configuration or no part of the limits. Lookups do not return it.
	Starting bool `json:",omitzero"`
}
