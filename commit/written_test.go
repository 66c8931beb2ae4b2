package commit

import (
	"testing"

	"celeryreach.example/celeryreach/writtenform"
)

func TestWritten(t *testing.T) {
	writtenform.Check(t, "commit", new(Commit))
}
