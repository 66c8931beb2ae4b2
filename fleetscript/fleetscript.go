// Package fleetscript is the test language for scenarios of whole deployments:
// commands for testscript that start a fleet, call it as callers and operators
// do, and break it. It is used by tests only.
//
//	fleet [-hosts N] [-backends N] [-slots N] [-unconfigured] FILE
//	                                start a deployment with the configuration FILE
//	[!] celeryreach ARGS            run a command of the command line
//	request [-key KEY] HOST ACCOUNT METHOD PATH [ID]
//	                                send a caller's request, print status and body
//	offer TIME HOST ACCOUNT RATE PATH...
//	                                send requests for a time, RATE a second for each four arguments
//	until PATTERN COMMAND ARGS      run celeryreach or request until its output matches
//	cut A B, heal A B               separate two places, end that
//	hostkill HOST, hoststop HOST, hoststart HOST, ready
//	                                crash, shut down, start a host; wait for all hosts
//	platform {"Outage": true}       play faults of the platform
//	replace OLD NEW FILE            change a file of the script
//	runs N                          check that no id ran more than N times
//	session                         print all that was called so far, normalized
//
// The script finds $CELERYREACH_OPERATOR, $CELERYREACH_OPERATOR_KEY,
// $CELERYREACH_LOOKUP, $PLATFORM, and $ISSUED, the key that was issued last.
// When a script ends, no key that it used may stand in any log line or metric.
package fleetscript

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rogpeppe/go-internal/testscript"

	"celeryreach.example/celeryreach/fleet"
	"celeryreach.example/celeryreach/logbuffer"
)

const scriptTimeout = 40 * time.Second

// Fleetscript runs the scripts of a directory.
type Fleetscript struct {
	// Dir holds the scripts, *.txtar.
	Dir string
	// Update rewrites the golden files in the scripts.
	Update bool
}

// Run runs every script as a subtest.
func (f *Fleetscript) Run(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: f.Dir, UpdateScripts: f.Update, RequireUniqueNames: true,
		Setup: func(e *testscript.Env) error {
			x, c := context.WithTimeout(context.Background(), scriptTimeout)
			s := &script{context: x, clock: clockwork.NewRealClock(), work: e.WorkDir}
			e.Values[scriptKey{}] = s
			e.Defer(c)
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"fleet": begin, "celeryreach": celeryreach, "request": request, "offer": offer, "until": until,
			"cut": cut, "heal": heal, "hostkill": kill, "hoststop": stop, "hoststart": start, "ready": ready,
			"platform": platform, "replace": replace, "runs": runs, "session": session,
		},
	})
}

type scriptKey struct{}

// script is the state of one running script.
type script struct {
	context context.Context
	clock   clockwork.Clock
	work    string
	fleet   *fleet.Fleet
	log     logbuffer.Logbuffer
	session strings.Builder
	issued  []string
}

func of(ts *testscript.TestScript) *script {
	return ts.Value(scriptKey{}).(*script)
}

// running returns the script's fleet, which must have been started.
func running(ts *testscript.TestScript) *fleet.Fleet {
	f := of(ts).fleet
	if f == nil {
		ts.Fatalf("no fleet runs")
	}
	return f
}
