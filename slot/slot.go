// Package slot defines the right to run one request on a backend server.
package slot

import (
	"net/http"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/result"
)

// Slot is held from before a request is sent until the backend server has
// stopped working on it.
type Slot struct {
	// Forward is set if this host reaches none of the request's backend servers and another
	// host has to send it. Backend and OnResponse are then not set.
	Forward bool
	// Backend is the backend server that runs the request.
	Backend backend.Backend
	// OnResponse is called with the status and header of the answer when they
	// arrive. It removes the backend server's load report from the header.
	OnResponse func(status int, h http.Header)
	// Release frees the slot. Only the first call has an effect.
	Release func(r result.Result)
}
