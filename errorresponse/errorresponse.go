// Package errorresponse writes outcomes to callers as HTTP responses.
package errorresponse

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/outcome"
)

// Status returns the HTTP status of an outcome.
func Status(o outcome.Outcome) int {
	switch o.Outcome {
	case outcome.KeyUnknown:
		return http.StatusUnauthorized
	case outcome.OverRate:
		return http.StatusTooManyRequests
	case outcome.NoRoute:
		return http.StatusNotFound
	case outcome.BadRequest:
		return http.StatusBadRequest
	case outcome.Running, outcome.Conflict:
		return http.StatusConflict
	case outcome.AnswerNotKept:
		return http.StatusGone
	case outcome.TicketElsewhere:
		return http.StatusMisdirectedRequest
	case outcome.HeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case outcome.TooLarge:
		return http.StatusRequestEntityTooLarge
	case outcome.BackendFailed, outcome.Quarantined, outcome.OutcomeUnknown:
		return http.StatusBadGateway
	case outcome.DeadlineExceeded:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

// Write sends an outcome as the complete response.
func Write(w http.ResponseWriter, o outcome.Outcome) {
	b, err := codec.Marshal(o)
	if err != nil {
		panic(err) // every Outcome can be encoded as JSON
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(b)))
	if o.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(float64(o.RetryAfter)/float64(time.Second)))))
	}
	w.WriteHeader(Status(o))
	// A failed write means that the caller has gone away, so there is nobody to
	// inform.
	_, _ = w.Write(b)
}
