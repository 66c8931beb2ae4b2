package problem

import (
	"testing"

	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/writtenform"
)

func TestWritten(t *testing.T) {
	writtenform.Check(t, "problem", new(Problem))
}

func TestTexts(t *testing.T) {
	must.Eq(t, []string{
		"KeyUnknown", "Unconfigured", "BadRequest", "Mistaken", "Conflict", "Unknown",
	}, []string{
		KeyUnknown, NotConfigured, BadRequest, InvalidConfig, Conflict, OutcomeUnknown,
	})
}
