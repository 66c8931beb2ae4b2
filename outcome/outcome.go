// Package outcome describes how a request ended when it ended without the
// backend server's answer.
package outcome

import "time"

// Outcome is the typed body of every answer that the system itself makes.
type Outcome struct {
	// Outcome is the cause, one of the constants of this package.
	Outcome string
	// Ran tells whether a backend server ran the request: "no", "yes" or
	// "unknown". "no" is a promise.
	Ran string
	// Message says the cause in words.
	Message string `json:",omitzero"`
	// RetryAfter is the earliest time that a new attempt has a chance.
	RetryAfter time.Duration `json:",omitzero"`
	// EntryHosts are the caller addresses to try, best first.
	EntryHosts []string `json:",omitzero"`
}

// Values of Ran.
const (
	RanNo      = "no"
	RanYes     = "yes"
	RanUnknown = "unknown"
)

// Values of Outcome.
const (
	// Answered is a whole answer; it is counted, never sent.
	Answered = "Answered"
	// Left says that the caller went away before an answer.
	Left = "Left"
	// KeyUnknown is a missing, wrong or withdrawn key.
	KeyUnknown = "KeyUnknown"
	// KeyStale is a refusal of a cut-off domain that cannot check keys.
	KeyStale = "KeyStale"
	// OverRate is a request above its account's rate and burst.
	OverRate = "OverRate"
	// NoCapacity is a request for which no slot came free in time.
	NoCapacity = "NoCapacity"
	// NoRoute is a path that no service has.
	NoRoute = "NoRoute"
	// BadRequest is a request that the protocol forbids.
	BadRequest = "BadRequest"
	// Leaving is a host that is shutting down.
	Leaving = "Leaving"
	// StoreUnavailable is a non-idempotent request that could not be recorded.
	StoreUnavailable = "StoreUnavailable"
	// Running says that an earlier attempt with the same id still runs.
	Running = "Running"
	// Conflict is an id that was used before with another request body.
	Conflict = "Conflict"
	// AnswerNotKept is a request that ran and whose answer was too large to
	// be given again.
	AnswerNotKept = "AnswerNotKept"
	// TicketElsewhere is a ticket of another host, which alone may run it.
	TicketElsewhere = "TicketElsewhere"
	// TooLarge is a request with an id whose body is too large to be compared
	// with that of a repetition.
	TooLarge = "TooLarge"
	// HeaderTooLarge is a request whose header is longer than the configuration
	// allows.
	HeaderTooLarge = "HeaderTooLarge"
	// Broken is an answer that broke off after its head had been sent; the
	// caller's connection is cut, so it is counted, never sent.
	Broken = "Broken"
	// BackendFailed is a backend server that broke off; idempotent requests
	// may be sent again.
	BackendFailed = "BackendFailed"
	// OutcomeUnknown is a non-idempotent request that may have run.
	OutcomeUnknown = "OutcomeUnknown"
	// DeadlineExceeded is a request whose time ran out.
	DeadlineExceeded = "DeadlineExceeded"
)
