package dispatch

import (
	"context"

	"celeryreach.example/celeryreach/deadline"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/upstream"
)

// callerBodyOutcome returns the outcome of a request whose body can't be read to its end, though
// its caller has not left.
func callerBodyOutcome(ran bool) outcome.Outcome {
	o := refuse(outcome.BadRequest, upstream.ErrCallerBody.Error())
	if ran {
		o.Ran = outcome.RanUnknown
	}
	return o
}

// contextOutcome returns the outcome of a request whose context has ended.
func contextOutcome(ctx context.Context, ran bool) outcome.Outcome {
	o := outcome.Outcome{Outcome: outcome.Left, Ran: outcome.RanNo, Message: "the caller left"}
	if deadline.Exceeded(ctx) {
		o = refuse(outcome.DeadlineExceeded, "the time ran out")
	}
	if ran {
		o.Ran = outcome.RanUnknown
	}
	return o
}
