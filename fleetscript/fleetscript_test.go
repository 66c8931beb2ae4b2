package fleetscript_test

import (
	"os"
	"testing"

	"celeryreach.example/celeryreach/fleetscript"
)

// With UPDATE=1 in the environment the expected output in the scripts is
// rewritten.
func TestScripts(t *testing.T) {
	s := &fleetscript.Fleetscript{Dir: "testdata", Update: os.Getenv("UPDATE") != ""}
	s.Run(t)
}
