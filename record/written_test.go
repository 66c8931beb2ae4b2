package record

import (
	"testing"

	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/writtenform"
)

func TestWritten(t *testing.T) {
	writtenform.Check(t, "record", new(Record))
}

func TestTexts(t *testing.T) {
	must.Eq(t, []string{
		"Running", "Done", "Large", "Unknown", "Void",
	}, []string{
		Running, Done, Large, Unknown, Void,
	})
}
