// Package completeddrain describes completed drains.
package completeddrain

import "time"

// Completeddrain describes a draining backend server that became idle on one host.
type Completeddrain struct {
	// At is the time at which the backend server became idle.
	At time.Time
	// Backend is the name of the backend server.
	Backend string
	// Took is the time since the host first detected the drain.
	Took time.Duration
}
