// Package part describes what one holder has of one limit.
package part

import "celeryreach.example/celeryreach/span"

// Part is what a division gives to one holder.
type Part struct {
	// Floor is the holder's cut of its failure domain's permanent part.
	Floor []span.Span `json:",omitzero"`
	// Leased is what the holder may use while others vouch for the division.
	Leased []span.Span `json:",omitzero"`
}
