// Package usage defines the slot utilization of a service.
package usage

// Usage sums the samples of one service on one host in one minute.
type Usage struct {
	// Minute is the time in minutes since 1970.
	Minute int64
	// Service is the name of the service.
	Service string
	// Slots is the sum of the slots that the host could use.
	Slots uint64
	// Busy is the sum of the slots in use.
	Busy uint64
}
