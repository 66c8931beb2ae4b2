// Package ingress describes the routes by which requests come in.
package ingress

import (
	"time"

	"celeryreach.example/celeryreach/portion"
)

// Ingress is one route: which requests it takes and how they are treated.
type Ingress struct {
	// Name identifies the route in the configuration.
	Name string
	// Host is the value of the Host header, without a port.
	Host string
	// Prefix is the start of the path. It begins and ends with a slash; the
	// longest one that fits decides.
	Prefix string
	// NonIdempotent marks requests that run at most once.
	NonIdempotent bool `json:",omitzero"`
	// Timeout is how long a caller is kept waiting at most.
	Timeout time.Duration
	// Objective is the latency within which an answer is worth most.
	Objective time.Duration
	// Priority is the rank of the requests, 0 is the most urgent.
	Priority int
	// Portions are the services that the requests go to.
	Portions []portion.Portion
	// Attempts is how many backend servers one request may be sent to.
	Attempts int
	// Public routes need no key.
	Public bool `json:",omitzero"`
	// Sticky tells that a backend server works faster on an object that it
	// has lately worked on.
	Sticky bool `json:",omitzero"`
	// Homes are the regions that may serve the requests; empty means all.
	Homes []string `json:",omitzero"`
}
