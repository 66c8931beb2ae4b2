// Package knobs describes the faults that the platform stand-in plays.
package knobs

import "time"

// Knobs are set by tests and by hand while a stand-in runs.
type Knobs struct {
	// Outage makes every call fail without effect.
	Outage bool `json:",omitzero"`
	// Delay is added to every call.
	Delay time.Duration `json:",omitzero"`
	// LoseAnswers is how many of the next commits take effect and then break
	// the connection.
	LoseAnswers int `json:",omitzero"`
	// LoseCommits is how many of the next commits break the connection before
	// they take effect: to the caller they look like lost answers.
	LoseCommits int `json:",omitzero"`
	// ListLag is how long the host list stays behind.
	ListLag time.Duration `json:",omitzero"`
}
