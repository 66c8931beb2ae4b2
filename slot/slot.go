// Package slot describes the right to run one request on a backend server.
package slot

import (
	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/result"
)

// Slot is held from before a request leaves until the backend server has
// stopped working on it.
type Slot struct {
	// Backend is the backend server that has room.
	Backend backend.Backend
	// Release gives the slot back. It must be called exactly once.
	Release func(r result.Result)
}
