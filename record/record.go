// Package record describes the stored record of a non-idempotent request.
package record

import (
	"net/http"
	"time"
)

// Values of State.
const (
	// Running applies from before the request is sent until its attempt has
	// ended.
	Running = "Running"
	// Done means that the answer in the record is the outcome.
	Done = "Done"
	// Large means that the request ran and that its answer is too large to be
	// recorded.
	Large = "Large"
	// Unknown means that the attempt ended without a complete answer: the
	// request may have run and is never run again.
	Unknown = "Unknown"
	// Void means that the attempt did not run and never will. The row is kept,
	// because it prevents a late insert of the same attempt from taking effect.
	Void = "Void"
)

// Record is one row of the table. It states that one attempt has started the
// request and how that attempt ended, if it has.
type Record struct {
	// Attempt is the name of the attempt that owns the row.
	Attempt string
	// Host is the host that runs the attempt.
	Host string
	// Incarnation is the host's incarnation.
	Incarnation uint64
	// Digest is the hash of method, target and body. A request with the same id
	// and another digest is a mistake of the caller.
	Digest string
	// Started is the wall-clock time of the start. It is used for expiry only.
	Started time.Time
	// State is one of the constants of this package.
	State string
	// Status is the HTTP status of the answer.
	Status int `json:",omitzero"`
	// Header holds the header fields of the answer.
	Header http.Header `json:",omitzero"`
	// Body is the body of the answer.
	Body []byte `json:",omitzero"`
}
