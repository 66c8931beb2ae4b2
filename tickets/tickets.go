// Package tickets describes the answer to a caller that asks for tickets.
package tickets

import "time"

// Tickets are ids for non-idempotent requests.
type Tickets struct {
	// Tickets are the ids, each for one request.
	Tickets []string
	// EntryHost is the caller address of the only host that runs them.
	EntryHost string
	// Lifetime is how long they may be used.
	Lifetime time.Duration
}
