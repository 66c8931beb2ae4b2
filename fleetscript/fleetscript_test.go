package fleetscript_test

import (
	"os"
	"testing"

	"celeryreach.example/celeryreach/fleetscript"
)

// UPDATE=1 rewrites the golden files.
func TestScripts(t *testing.T) {
	s := &fleetscript.Fleetscript{Dir: "testdata", Update: os.Getenv("UPDATE") != ""}
	s.Run(t)
}
