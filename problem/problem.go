// Package problem describes why an operator's call was refused.
package problem

import (
	"fmt"
	"strings"

	"celeryreach.example/celeryreach/accepted"
	"celeryreach.example/celeryreach/difference"
)

// Problem is the body of every refusal of the operators' interface.
type Problem struct {
	// Problem is the cause, one of the constants of this package.
	Problem string
	// Message says the cause in words.
	Message string
	// Mistakes are all mistakes of a refused configuration.
	Mistakes []string `json:",omitzero"`
	// Accepted is the version that was accepted in between, after a conflict.
	Accepted accepted.Accepted `json:",omitzero"`
	// Yours is what the refused change would have changed.
	Yours []difference.Difference `json:",omitzero"`
	// Theirs is what was changed in between.
	Theirs []difference.Difference `json:",omitzero"`
}

// Values of Problem.
const (
	// KeyUnknown is a missing, wrong or withdrawn operator's key.
	KeyUnknown = "KeyUnknown"
	// Unconfigured is a host that has no configuration yet.
	Unconfigured = "Unconfigured"
	// BadRequest is a call that the interface does not have.
	BadRequest = "BadRequest"
	// Mistaken is a configuration with mistakes; nothing was changed.
	Mistaken = "Mistaken"
	// Conflict is a change that was made from a version that is no longer the
	// accepted one; nothing was changed.
	Conflict = "Conflict"
	// Unknown is a change whose outcome is not known: the platform failed
	// while it was written.
	Unknown = "Unknown"
)

// Error returns the cause in words.
func (p *Problem) Error() string {
	if len(p.Mistakes) == 0 {
		return fmt.Sprintf("%s: %s", p.Problem, p.Message)
	}
	return fmt.Sprintf("%s: %s\n  %s", p.Problem, p.Message, strings.Join(p.Mistakes, "\n  "))
}
