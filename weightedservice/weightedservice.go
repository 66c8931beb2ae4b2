// Package weightedservice describes a service's portion of a route's requests.
package weightedservice

// Weightedservice is one service that a route sends requests to.
type Weightedservice struct {
	// Service names the service.
	Service string
	// Weight is the portion of the route's requests that the service gets,
	// relative to the weights of the route's other portions.
	Weight float64
}
