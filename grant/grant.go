// Package grant describes what a host may use of a limit, and until when.
package grant

import "time"

// Grant is the use of one limit by one host. It tells the times, so that a
// token bucket that is looked at late refills only for the time in which the
// grant held.
type Grant struct {
	// Floor is the permanent fraction, 0..1.
	Floor float64
	// FloorSince is when the floor became usable.
	FloorSince time.Time
	// FloorUntil is when the floor stops unless the process shows life.
	FloorUntil time.Time
	// Leased is the leased fraction, 0..1.
	Leased float64
	// LeasedSince is when the leased fraction became usable.
	LeasedSince time.Time
	// LeasedUntil is when it stops unless it is renewed.
	LeasedUntil time.Time
	// Unknown tells that no division names this process yet, so that requests
	// rather wait a little than be refused.
	Unknown bool
	// Unused tells that nobody ever used the limit before this grant, so that
	// its bucket may start full.
	Unused bool
}

// Part returns the fraction that may be used at now.
func (g Grant) Part(now time.Time) float64 {
	f := 0.0
	if now.Before(g.FloorUntil) && !now.Before(g.FloorSince) {
		f = g.Floor
	}
	if now.Before(g.LeasedUntil) && !now.Before(g.LeasedSince) {
		f += g.Leased
	}
	return f
}
