// Package outcome describes how a request without a response from a backend server
// ended.
package outcome

import "time"

// Outcome is the typed body of every response that the system itself generates.
type Outcome struct {
	// Outcome is the cause, one of the constants of this package.
	Outcome string
	// Ran is "no", "yes" or "unknown", depending on whether a backend server ran the
	// request. "no" is a guarantee.
	Ran string
	// Message describes the cause for humans.
	Message string `json:",omitzero"`
	// RetryAfter is the shortest delay after which a new attempt may succeed.
	RetryAfter time.Duration `json:",omitzero"`
	// EntryHosts holds the addresses of entry hosts to try, best first.
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
	// Answered is a request with a complete response; it is counted, never sent.
	Answered = "Answered"
	// Left is a request whose caller went away before a response.
	Left = "Left"
	// KeyUnknown is a request with a missing, wrong or withdrawn key.
	KeyUnknown = "KeyUnknown"
	// KeyStale is a refusal by a partitioned failure domain, which cannot check keys.
	KeyStale = "KeyStale"
	// OverRate is a request above its account's rate and burst.
	OverRate = "OverRate"
	// NoCapacity is a request for which no slot became free in time.
	NoCapacity = "NoCapacity"
	// NoRoute is a request whose path matches no service.
	NoRoute = "NoRoute"
	// BadRequest is a request that violates the protocol.
	BadRequest = "BadRequest"
	// Leaving is a refusal by a host that is shutting down.
	Leaving = "Leaving"
	// StoreUnavailable is a non-idempotent request that could not be recorded.
	StoreUnavailable = "StoreUnavailable"
	// Running is a request with the id of an earlier attempt that is still running.
	Running = "Running"
	// Conflict is a request with an id that was used before with another body.
	Conflict = "Conflict"
	// AnswerNotKept is a repetition of a request that ran and whose response was too
	// large to be stored.
	AnswerNotKept = "AnswerNotKept"
	// TicketElsewhere is a request with a ticket of another host. Only that host may
	// run the request.
	TicketElsewhere = "TicketElsewhere"
	// TooLarge is a request with an id whose body is too large to be compared with the
	// body of a repetition.
	TooLarge = "TooLarge"
	// HeaderTooLarge is a request whose header exceeds the configured limit.
	HeaderTooLarge = "HeaderTooLarge"
	// Broken is a response that was truncated after its header was sent. It is
	// counted, never sent, since the connection to the caller is closed.
	Broken = "Broken"
	// BackendFailed is a request whose backend server failed or truncated its
	// response; idempotent requests may be sent again.
	BackendFailed = "BackendFailed"
	// Quarantined is a request that is not sent, since processes of backend servers ended when
	// they ran it before.
	Quarantined = "Quarantined"
	// OutcomeUnknown is a non-idempotent request that may have run.
	OutcomeUnknown = "OutcomeUnknown"
	// DeadlineExceeded is a request whose deadline passed.
	DeadlineExceeded = "DeadlineExceeded"
)
