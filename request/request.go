// Package request describes a caller's request on its way through the system.
package request

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"celeryreach.example/celeryreach/credential"
	"celeryreach.example/celeryreach/gate"
	"celeryreach.example/celeryreach/service"
	"celeryreach.example/celeryreach/trail"
	"celeryreach.example/celeryreach/tried"
)

// Request is an identified request without its key.
type Request struct {
	// ID is drawn by the entry host and unique to this request.
	ID string
	// Credential is the key record that came with the request; the key itself
	// is gone.
	Credential credential.Credential
	// Service is the service that the path belongs to.
	Service service.Service
	// Host is the Host header that the caller sent.
	Host string
	// Object names what the request concerns; empty when that is not known.
	// Requests for one object are served fastest by one backend server.
	Object string
	// Route names the route that the request came in by.
	Route string
	// Account is the client account that the request counts against; empty
	// on public routes.
	Account string
	// Priority is the rank of the request, 0 is the most urgent.
	Priority int
	// Attempts is how many backend servers the request may be sent to; zero
	// leaves it to the host.
	Attempts int
	// Patience is how long the request may wait for a slot.
	Patience time.Duration
	// Homes reports whether a region may serve the request; nil means all may.
	Homes func(region string) bool
	// Tried are the backend servers that it was sent to.
	Tried *tried.Tried
	// Trail keeps the decisions on the request for the log.
	Trail *trail.Trail
	// Method is the HTTP method.
	Method string
	// Target is the path and query.
	Target string
	// Header are the caller's header fields without key and hop-by-hop fields.
	Header http.Header
	// Body is the body; nil when there is none.
	Body io.Reader
	// Rewind returns the body from its start again; nil when it can be read
	// only once.
	Rewind func() io.Reader
	// Touched is set before the first byte of the body is read: a body that
	// cannot be rewound can then not be sent anew. It may be nil.
	Touched *atomic.Bool
	// Length is the body's length, -1 when it is not known.
	Length int64
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Admitted is when the request was admitted against its account's rate;
	// zero when another host did so.
	Admitted time.Time
	// NonIdempotent requests run at most once.
	NonIdempotent bool
	// IdempotencyID is the caller's id of a non-idempotent request.
	IdempotencyID string
	// Gate decides between sending the request and giving it up; nil when the
	// request's context alone decides.
	Gate *gate.Gate
}
