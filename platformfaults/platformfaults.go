// Package platformfaults describes the faults that the platform stand-in simulates.
package platformfaults

import "time"

// Platformfaults are the fault settings. Tests and operators change them while a
// stand-in runs.
type Platformfaults struct {
	// Outage makes every call fail without effect.
	Outage bool `json:",omitzero"`
	// Delay is added to every call.
	Delay time.Duration `json:",omitzero"`
	// LoseAnswers is the number of next commits that take effect and whose
	// connection is then closed without an answer.
	LoseAnswers int `json:",omitzero"`
	// LoseCommits is the number of next commits that have no effect and whose
	// connection is closed without an answer. A caller cannot distinguish a lost
	// commit from a lost answer.
	LoseCommits int `json:",omitzero"`
	// ListLag is the maximum age of the host list.
	ListLag time.Duration `json:",omitzero"`
}
