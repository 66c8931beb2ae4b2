// Package ingress describes the routes of incoming requests.
package ingress

import (
	"time"

	"celeryreach.example/celeryreach/weightedservice"
)

// Ingress is one route: the requests that it matches and how they are handled.
type Ingress struct {
	// Name identifies the route in the configuration.
	Name string
	// Host is the value of the Host header, without a port.
	Host string
	// Prefix is the start of the path. It begins and ends with a slash. The
	// longest matching prefix wins.
	Prefix string
	// NonIdempotent marks requests that run at most once.
	NonIdempotent bool `json:",omitzero"`
	// Timeout is the longest time that a caller waits for an answer.
	Timeout time.Duration
	// Objective is the target latency. An answer within it has the highest
	// value.
	Objective time.Duration
	// Priority is the rank of the requests. 0 is the most urgent.
	Priority int
	// Portions are the services that the requests are distributed to.
	Portions []weightedservice.Weightedservice
	// Attempts is the maximum number of backend servers that one request is
	// sent to.
	Attempts int
	// Public marks a route that needs no key.
	Public bool `json:",omitzero"`
	// Sticky marks requests for objects that a backend server serves faster if
	// it has recently served the same object.
	Sticky bool `json:",omitzero"`
	// Homes are the regions that may serve the requests. Empty means all.
	Homes []string `json:",omitzero"`
}
