// Package slot describes the right to run one request on a backend server.
package slot

import (
	"net/http"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/result"
)

// Slot is held from before a request leaves until the backend server has
// stopped working on it.
type Slot struct {
	// Backend is the backend server that has room.
	Backend backend.Backend
	// Answered tells the status and header of the answer when they arrive. It
	// takes the backend server's report on itself out of the header.
	Answered func(status int, h http.Header)
	// Release gives the slot back. Only the first call counts.
	Release func(r result.Result)
}
