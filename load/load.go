// Package load defines the load of a service on one host.
package load

// Load is the load of a service, as counted by a host on its own slots.
type Load struct {
	// Service is the name of the service.
	Service string
	// Slots is the number of slots that the host may use now.
	Slots int
	// Busy is the number of slots in use.
	Busy int
	// Waiting is the number of requests that wait for a slot.
	Waiting int
}
