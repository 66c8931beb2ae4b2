package countstore

import (
	"testing"

	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/writtenform"
)

func TestWritten(t *testing.T) {
	writtenform.Check(t, "row", new(entry))
}

func TestTexts(t *testing.T) {
	must.Eq(t, []string{
		"burn/",
	}, []string{
		prefix,
	})
}
