package cmd

import (
	"testing"

	"celeryreach.example/celeryreach/writtenform"
)

func TestWritten(t *testing.T) {
	writtenform.Check(t, "changed", new(changed))
	writtenform.Check(t, "conflict", new(conflict))
	writtenform.Check(t, "checked", new(checked))
	writtenform.Check(t, "overview", new(overview))
}
