package answer

import (
	"testing"

	"celeryreach.example/celeryreach/writtenform"
)

func TestWritten(t *testing.T) {
	writtenform.Check(t, "answer", new(Answer))
}
