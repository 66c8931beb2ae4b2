// Package record describes what the platform keeps of a non-idempotent
// request.
package record

import (
	"net/http"
	"time"
)

// Record is one row of the table: the request has been started, and perhaps
// ended, by one attempt.
type Record struct {
	// Attempt names the attempt that owns the row.
	Attempt string
	// Host is the host that makes the attempt.
	Host string
	// Incarnation is the host's incarnation.
	Incarnation uint64
	// Digest is the hash of method, target and body: the same id with another
	// digest is a mistake of the caller.
	Digest string
	// Started is the wall-clock time of the start, for expiry only.
	Started time.Time
	// Done tells that the answer below is the outcome.
	Done bool
	// Status is the answer's status.
	Status int `json:",omitzero"`
	// Header are the answer's header fields.
	Header http.Header `json:",omitzero"`
	// Body is the answer's body.
	Body []byte `json:",omitzero"`
}
