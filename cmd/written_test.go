package cmd

import (
	"testing"

	"celeryreach.example/celeryreach/writtenform"
)

func TestWritten(t *testing.T) {
	writtenform.Check(t, "changed", new(changeResult))
	writtenform.Check(t, "conflict", new(conflictResult))
	writtenform.Check(t, "checked", new(checkResult))
	writtenform.Check(t, "overview", new(overview))
}
