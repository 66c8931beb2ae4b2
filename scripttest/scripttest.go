// Package scripttest lets the commands of scripted tests check values. It is
// for tests only.
package scripttest

import (
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// Scripttest reports failed assertions with the line of the script.
type Scripttest struct {
	// Script is the running script.
	Script *testscript.TestScript
}

// Helper is part of must.T.
func (s Scripttest) Helper() {}

// Fatalf is part of must.T.
func (s Scripttest) Fatalf(m string, a ...any) { s.Script.Fatalf(m, a...) }

// Number reads an argument of a command.
func (s Scripttest) Number(a string) int {
	n, err := strconv.Atoi(a)
	s.Script.Check(err)
	return n
}

// Duration reads an argument of a command.
func (s Scripttest) Duration(a string) time.Duration {
	d, err := time.ParseDuration(a)
	s.Script.Check(err)
	return d
}
