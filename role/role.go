// Package role describes one row of the capacity page.
package role

// Role is what one role of the system costs a host at the target size. A
// figure below zero means that the role has no such cost.
type Role struct {
	// Name is the role.
	Name string
	// State is what the role keeps, in bytes on a host.
	State float64
	// Messages is messages per second that a host sends.
	Messages float64
	// Traffic is bytes per second that a host sends for control.
	Traffic float64
	// Reads is reads of the table per second by all hosts together.
	Reads float64
	// Writes is commits to the table per second by all hosts together.
	Writes float64
	// Core is the fraction of a core on a host.
	Core float64
	// Carries names the mechanism that carries the role at that size.
	Carries string
	// Breaks says what today's code would break on, empty if nothing.
	Breaks string
}
