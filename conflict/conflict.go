// Package conflict describes two changes of the same configuration version, of
// which the later one was refused.
package conflict

import "celeryreach.example/celeryreach/difference"

// Conflict is the answer to an operator whose change conflicts with a newer
// version. No part of the change was accepted.
type Conflict struct {
	// From is the version that both changes are based on.
	From uint64
	// Accepted is the version that was accepted instead.
	Accepted uint64
	// Theirs lists the differences accepted since From.
	Theirs []difference.Difference
	// Yours lists the differences that the refused change would have made.
	Yours []difference.Difference
}
