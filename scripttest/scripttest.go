// Package scripttest lets the commands of testscript scripts use assertions of
// package must. It is for tests only.
package scripttest

import (
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// Scripttest implements must.T: a failed assertion fails the script at its
// current line.
type Scripttest struct {
	// Script is the running script.
	Script *testscript.TestScript
}

// Helper implements must.T.
func (s Scripttest) Helper() {}

// Fatalf implements must.T.
func (s Scripttest) Fatalf(m string, a ...any) { s.Script.Fatalf(m, a...) }

// Number parses a command argument as an integer.
func (s Scripttest) Number(a string) int {
	n, err := strconv.Atoi(a)
	s.Script.Check(err)
	return n
}

// Duration parses a command argument as a duration.
func (s Scripttest) Duration(a string) time.Duration {
	d, err := time.ParseDuration(a)
	s.Script.Check(err)
	return d
}
