// Package portion describes a service's part of a route.
package portion

// Portion is one service that a route sends requests to.
type Portion struct {
	// Service names the service.
	Service string
	// Weight is the service's part of the route's requests, relative to the
	// weights of the route's other portions.
	Weight float64
}
