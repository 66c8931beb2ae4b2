// Package problem describes why an operator's request was refused.
package problem

import (
	"fmt"
	"strings"

	"celeryreach.example/celeryreach/acceptedversion"
	"celeryreach.example/celeryreach/difference"
)

// Problem is the body of every error response of the operators' interface.
type Problem struct {
	// Problem is the cause, one of the constants of this package.
	Problem string
	// Message describes the cause.
	Message string
	// Mistakes lists all mistakes in a refused configuration.
	Mistakes []string `json:",omitzero"`
	// Accepted is the currently accepted version, set for a conflict.
	Accepted acceptedversion.Acceptedversion `json:",omitzero"`
	// Yours lists the differences that the refused change would have made.
	Yours []difference.Difference `json:",omitzero"`
	// Theirs lists the differences made by the changes that were accepted since
	// the base version.
	Theirs []difference.Difference `json:",omitzero"`
}

// Values of Problem.
const (
	// KeyUnknown means that the operator's key is missing, wrong or withdrawn.
	KeyUnknown = "KeyUnknown"
	// NotConfigured means that the host has no configuration yet.
	NotConfigured = "Unconfigured"
	// BadRequest means that the operators' interface does not support the request.
	BadRequest = "BadRequest"
	// InvalidConfig means that the configuration has mistakes; nothing was changed.
	InvalidConfig = "Mistaken"
	// Conflict means that the base version of the change is no longer the
	// accepted version; nothing was changed.
	Conflict = "Conflict"
	// OutcomeUnknown means that the platform failed during the write, so the outcome of
	// the change is unknown.
	OutcomeUnknown = "Unknown"
)

// Error returns the cause, the message and all mistakes.
func (p *Problem) Error() string {
	if len(p.Mistakes) == 0 {
		return fmt.Sprintf("%s: %s", p.Problem, p.Message)
	}
	return fmt.Sprintf("%s: %s\n  %s", p.Problem, p.Message, strings.Join(p.Mistakes, "\n  "))
}
