// Package member describes a host as other hosts and callers see it.
package member

// Member is one running host.
type Member struct {
	// Name identifies the host.
	Name string
	// Incarnation is drawn anew at each start of the process, so that nobody
	// takes a replacement for the process that held its name before.
	Incarnation uint64
	// Domain is the failure domain of the host.
	Domain string
	// Region is the region of the host.
	Region string
	// CallerAddress is where callers reach it, IP and port.
	CallerAddress string
	// PeerAddress is where other hosts reach it, IP and port.
	PeerAddress string
	// OperatorAddress is where operators reach it, IP and port.
	OperatorAddress string
	// Leaving tells that the host is shutting down and takes no new work.
	Leaving bool `json:",omitzero"`
	// Starting tells that the host cannot serve callers yet: it has no
	// configuration or no part of the limits. Look-ups do not name it.
	Starting bool `json:",omitzero"`
}
