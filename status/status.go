// Package status describes the state of a host and the state of other hosts as
// reported to this host.
package status

import (
	"celeryreach.example/celeryreach/load"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/rollout"
	"celeryreach.example/celeryreach/share"
)

// Status is the answer to an operator's status request.
type Status struct {
	// Host is the host that answers.
	Host member.Member
	// ConfigVersion is the configuration version in force on the host.
	ConfigVersion uint64
	// ConfigHash is the hash of that version's content.
	ConfigHash string
	// Preset is the preset in force on the host.
	Preset string
	// Loads are the loads of the host by service.
	Loads []load.Load
	// Shares are the host's shares of the client accounts' limits.
	Shares []share.Share
	// SlotsLent is the number of this host's slots that are on loan to other hosts.
	SlotsLent int
	// SlotsBorrowed is the number of slots that are on loan from other hosts.
	SlotsBorrowed int
	// DivisionEpoch is the epoch of the division that the host has.
	DivisionEpoch uint64
	// PlanVersion is the version of the plan in force on the host.
	PlanVersion uint64
	// PlanReason describes what that plan changed.
	PlanReason string `json:",omitzero"`
	// Peers are the hosts that have recently sent heartbeats.
	Peers []member.Member
	// Missing are hosts that have not recently sent heartbeats and are on the
	// platform's list or known from earlier heartbeats. They may still serve.
	// The list is updated with a delay, so it may contain hosts that have just
	// stopped.
	Missing []member.Member `json:",omitzero"`
	// Unlisted is the error that prevented the read of the platform's list, if
	// any.
	Unlisted string `json:",omitzero"`
	// InForce shows on which hosts ConfigVersion is in force.
	InForce rollout.Rollout
}
