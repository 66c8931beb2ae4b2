package backendfaults

import (
	"testing"

	"celeryreach.example/celeryreach/writtenform"
)

func TestWritten(t *testing.T) {
	writtenform.Check(t, "knobs", new(Backendfaults))
}
