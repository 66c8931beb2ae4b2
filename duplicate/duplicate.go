// Package duplicate determines the outcome of a request whose id already has a
// record.
package duplicate

import (
	"time"

	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/record"
)

// runningRetryAfter is the Retry-After for a request whose earlier attempt
// still runs.
const runningRetryAfter = time.Second

// Outcome returns the outcome of a request with the given digest that finds
// record v. Runs is true if the process that owns the record may still be
// running the attempt. If the outcome is Answered, the answer in the record is
// to be replayed.
func Outcome(v record.Record, digest string, runs bool) outcome.Outcome {
	switch {
	case v.Digest != digest:
		return outcome.Outcome{Outcome: outcome.Conflict, Ran: outcome.RanNo, Message: "the id was already used for another request"}
	case v.State == record.Done:
		return outcome.Outcome{Outcome: outcome.Answered, Ran: outcome.RanYes}
	case v.State == record.Large:
		return outcome.Outcome{
			Outcome: outcome.AnswerNotKept, Ran: outcome.RanYes,
			Message: "the request ran; its answer was too large to be recorded",
		}
	case v.State == record.Running && runs:
		return outcome.Outcome{
			Outcome: outcome.Running, Ran: outcome.RanUnknown,
			Message: "an earlier attempt is still running", RetryAfter: runningRetryAfter,
		}
	default:
		return outcome.Outcome{
			Outcome: outcome.OutcomeUnknown, Ran: outcome.RanUnknown,
			Message: "an earlier attempt ended without a known outcome; the request is never run again",
		}
	}
}
