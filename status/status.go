// Package status describes what one host knows of itself and of others.
package status

import (
	"celeryreach.example/celeryreach/inforce"
	"celeryreach.example/celeryreach/member"
)

// Status is the answer to an operator's question for the state.
type Status struct {
	// Host is the host that answers.
	Host member.Member
	// ConfigVersion is the version in force on it.
	ConfigVersion uint64
	// Preset is the preset in force on it.
	Preset string
	// Peers are the hosts it has heard lately.
	Peers []member.Member
	// InForce tells on which hosts ConfigVersion is in force.
	InForce inforce.Inforce
}
