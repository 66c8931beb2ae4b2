// Package staleness describes how long a cut-off failure domain trusts keys.
package staleness

import "time"

// Staleness bounds the use of keys whose withdrawal a failure domain could not
// hear of, because it hears neither the platform nor another domain.
type Staleness struct {
	// Idempotent is the bound for idempotent requests.
	Idempotent time.Duration
	// NonIdempotent is the bound for non-idempotent requests.
	NonIdempotent time.Duration
}
