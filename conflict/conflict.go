// Package conflict describes two changes of one version, of which the second
// was refused.
package conflict

import "celeryreach.example/celeryreach/difference"

// Conflict is the answer to an operator whose change came second. Nothing of
// it was accepted.
type Conflict struct {
	// From is the version that both changes were made from.
	From uint64
	// Accepted is the version in force instead.
	Accepted uint64
	// Theirs are the fields that were changed since From.
	Theirs []difference.Difference
	// Yours are the fields that the refused change would have changed.
	Yours []difference.Difference
}
