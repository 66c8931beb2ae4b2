// Package drained describes drains that ended.
package drained

import "time"

// Drained is one backend server that became idle on one host.
type Drained struct {
	// At is when it became idle.
	At time.Time
	// Backend is the backend server.
	Backend string
	// Took is the time from the first sign of the drain.
	Took time.Duration
}
