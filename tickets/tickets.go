// Package tickets describes the answer to a request for tickets.
package tickets

import "time"

// Tickets are issued ids for non-idempotent requests.
type Tickets struct {
	// Tickets are the ids, each for one request.
	Tickets []string
	// EntryHost is the caller address of the only host that runs these tickets.
	EntryHost string
	// Lifetime is how long the tickets may be used.
	Lifetime time.Duration
}
