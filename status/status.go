// Package status describes what one host knows of itself and of others.
package status

import (
	"celeryreach.example/celeryreach/inforce"
	"celeryreach.example/celeryreach/load"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/share"
)

// Status is the answer to an operator's question for the state.
type Status struct {
	// Host is the host that answers.
	Host member.Member
	// ConfigVersion is the version in force on it.
	ConfigVersion uint64
	// ConfigHash is the hash of that version's content.
	ConfigHash string
	// Preset is the preset in force on it.
	Preset string
	// Loads are its loads by service.
	Loads []load.Load
	// Shares are its parts of the client accounts' limits.
	Shares []share.Share
	// SlotsLent are slots of its own that other hosts have on loan.
	SlotsLent int
	// SlotsBorrowed are slots of other hosts that it has on loan.
	SlotsBorrowed int
	// DivisionEpoch is the division that it knows.
	DivisionEpoch uint64
	// PlanVersion is the plan in force on it.
	PlanVersion uint64
	// PlanReason says what that plan changed.
	PlanReason string `json:",omitzero"`
	// Peers are the hosts it has heard lately.
	Peers []member.Member
	// Missing are hosts on the platform's list that it has not heard lately.
	// The list lags, so a host that ended a moment ago can be among them.
	Missing []member.Member `json:",omitzero"`
	// Unlisted says why the platform's list is not known.
	Unlisted string `json:",omitzero"`
	// InForce tells on which hosts ConfigVersion is in force.
	InForce inforce.Inforce
}
