// Package usage describes how full the slots of a service were.
package usage

// Usage sums samples of one service on one host in one minute.
type Usage struct {
	// Minute is the minute, in minutes since 1970.
	Minute int64
	// Service is the service.
	Service string
	// Slots sums the slots that the host could use.
	Slots uint64
	// Busy sums those in use.
	Busy uint64
}
