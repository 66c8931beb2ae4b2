// Package load describes the load of a service on one host.
package load

// Load is what a host counts itself, of its own slots.
type Load struct {
	// Service is the service.
	Service string
	// Slots are the slots that the host may use now.
	Slots int
	// Busy are the slots in use.
	Busy int
	// Waiting are the requests that wait for a slot.
	Waiting int
}
