// Package staleness describes how long a partitioned failure domain accepts keys.
package staleness

import "time"

// Staleness bounds the use of keys in a failure domain that reaches neither the platform
// nor another domain: a key may have been withdrawn without the domain being notified.
type Staleness struct {
	// Idempotent is the bound for idempotent requests.
	Idempotent time.Duration
	// NonIdempotent is the bound for non-idempotent requests.
	NonIdempotent time.Duration
}
