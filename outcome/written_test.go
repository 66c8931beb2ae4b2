package outcome

import (
	"testing"

	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/writtenform"
)

func TestWritten(t *testing.T) {
	writtenform.Check(t, "outcome", new(Outcome))
}

func TestTexts(t *testing.T) {
	must.Eq(t, []string{
		"no", "yes", "unknown",
		"Answered", "Left", "KeyUnknown", "KeyStale", "OverRate", "NoCapacity", "NoRoute", "BadRequest", "Leaving", "StoreUnavailable",
		"Running", "Conflict", "AnswerNotKept", "TicketElsewhere", "TooLarge",
		"HeaderTooLarge", "Broken", "BackendFailed", "Quarantined", "OutcomeUnknown", "DeadlineExceeded",
	}, []string{
		RanNo, RanYes, RanUnknown,
		Answered, Left, KeyUnknown, KeyStale, OverRate, NoCapacity, NoRoute, BadRequest, Leaving, StoreUnavailable,
		Running, Conflict, AnswerNotKept, TicketElsewhere, TooLarge,
		HeaderTooLarge, Broken, BackendFailed, Quarantined, OutcomeUnknown, DeadlineExceeded,
	})
}
