// Package grant describes which part of a limit a host may use, and until when.
package grant

import "time"

// Grant is what one host may use of one limit. It contains the times of
// validity, so that a token bucket that is refilled late gains tokens only for
// the time in which the grant was valid.
type Grant struct {
	// Floor is the permanent fraction, 0..1.
	Floor float64
	// FloorSince is when the floor became usable.
	FloorSince time.Time
	// FloorUntil is when the floor stops being usable, unless the process shows
	// that it is still running.
	FloorUntil time.Time
	// Leased is the leased fraction, 0..1.
	Leased float64
	// LeasedSince is when the leased fraction became usable.
	LeasedSince time.Time
	// LeasedUntil is when the leased fraction stops being usable, unless it is
	// renewed.
	LeasedUntil time.Time
	// Unassigned is true if the current division does not contain this process, or if
	// the process has received no division yet. Requests then wait for a short time
	// instead of being refused.
	Unassigned bool
	// FirstUse is true if no host used the limit before this grant, so that its
	// bucket may start full.
	FirstUse bool
}

// Fraction returns the fraction that may be used at now.
func (g Grant) Fraction(now time.Time) float64 {
	f := 0.0
	if now.Before(g.FloorUntil) && !now.Before(g.FloorSince) {
		f = g.Floor
	}
	if now.Before(g.LeasedUntil) && !now.Before(g.LeasedSince) {
		f += g.Leased
	}
	return f
}
