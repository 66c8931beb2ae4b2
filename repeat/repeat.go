// Package repeat answers arrivals that find the record of an earlier one.
package repeat

import (
	"time"

	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/record"
)

// runningRetry is when a caller asks again for an attempt that runs elsewhere.
const runningRetry = time.Second

// Outcome returns the outcome of a request with the given digest that finds
// record v. Runs tells whether the attempt of the record may still end.
// Answered means that the answer in the record is to be given again.
func Outcome(v record.Record, digest string, runs bool) outcome.Outcome {
	switch {
	case v.Digest != digest:
		return outcome.Outcome{Outcome: outcome.Conflict, Ran: outcome.RanNo, Message: "the id was used with another request"}
	case v.State == record.Done:
		return outcome.Outcome{Outcome: outcome.Answered, Ran: outcome.RanYes}
	case v.State == record.Large:
		return outcome.Outcome{
			Outcome: outcome.AnswerNotKept, Ran: outcome.RanYes,
			Message: "the request ran; its answer is too large to be given again",
		}
	case v.State == record.Running && runs:
		return outcome.Outcome{
			Outcome: outcome.Running, Ran: outcome.RanUnknown,
			Message: "an earlier attempt runs", RetryAfter: runningRetry,
		}
	default:
		return outcome.Outcome{
			Outcome: outcome.OutcomeUnknown, Ran: outcome.RanUnknown,
			Message: "an earlier attempt ended without a known outcome; it is never run again",
		}
	}
}
