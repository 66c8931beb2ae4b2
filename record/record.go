// Package record describes what the platform keeps of a non-idempotent
// request.
package record

import (
	"net/http"
	"time"
)

// Values of State.
const (
	// Running is the state from before the request leaves until its end.
	Running = "Running"
	// Done means that the answer in the record is the outcome.
	Done = "Done"
	// Large means that the request ran and that its answer is too large to
	// be recorded.
	Large = "Large"
	// Unknown means that the attempt ended without a whole answer: it may
	// have run and is never run again.
	Unknown = "Unknown"
	// Void means that the attempt did not run and never will. The row stays,
	// since it keeps a late insert of the same attempt from taking effect.
	Void = "Void"
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
	// State is one of the constants of this package.
	State string
	// Status is the answer's status.
	Status int `json:",omitzero"`
	// Header are the answer's header fields.
	Header http.Header `json:",omitzero"`
	// Body is the answer's body.
	Body []byte `json:",omitzero"`
}
