package division

import (
	"testing"

	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/writtenform"
)

func TestWritten(t *testing.T) {
	writtenform.Check(t, "division", new(Division))
}

func TestTexts(t *testing.T) {
	must.Eq(t, []string{
		"division", "rate/",
	}, []string{
		RowKey, RatePrefix,
	})
}
