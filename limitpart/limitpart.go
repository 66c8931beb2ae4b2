// Package limitpart describes the part of one limit that one holder has.
package limitpart

import "celeryreach.example/celeryreach/span"

// Limitpart is what a division assigns to one holder.
type Limitpart struct {
	// Floor is the holder's share of the permanent part of its failure domain.
	Floor []span.Span `json:",omitzero"`
	// Leased is what the holder may use while other holders confirm the
	// division.
	Leased []span.Span `json:",omitzero"`
}
