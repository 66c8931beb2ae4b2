// Package fleetscript defines testscript commands for tests of complete
// deployments: the commands start a fleet, call it as callers and operators do,
// and inject faults. It is used by tests only.
//
//	fleet [-hosts N] [-backends N] [-slots N] [-unconfigured] FILE
//	                                start a deployment with the configuration FILE
//	[!] celeryreach ARGS            run a command of the command line
//	request [-key KEY] HOST ACCOUNT METHOD PATH [ID]
//	                                send a caller's request, print status and body
//	offer TIME HOST ACCOUNT RATE PATH...
//	                                send requests for TIME: RATE per second for each
//	                                group of HOST ACCOUNT RATE PATH
//	until PATTERN COMMAND ARGS      run celeryreach or request until its output matches
//	cut A B, heal A B               start and end a partition between two labels
//	hostkill HOST, hoststop HOST, hoststart HOST, ready
//	                                crash, shut down, start a host; wait for all hosts
//	platform {"Outage": true}       set the faults of the platform stand-in
//	replace OLD NEW FILE            replace a text in a file of the script
//	runs N                          check that no id ran more than N times
//	session                         print all calls and outputs so far, normalized
//
// Scripts can use the variables $CELERYREACH_OPERATOR,
// $CELERYREACH_OPERATOR_KEY, $CELERYREACH_LOOKUP, $PLATFORM and $ISSUED, which is
// the most recently issued key. A script fails if a key that it used appears in a
// log line or a metric.
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

// Fleetscript runs the scripts of a directory as tests.
type Fleetscript struct {
	// Dir is the directory of the scripts, *.txtar.
	Dir string
	// Update rewrites the expected output in the scripts.
	Update bool
}

// Run runs every script as a subtest.
func (f *Fleetscript) Run(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: f.Dir, UpdateScripts: f.Update, RequireUniqueNames: true,
		Setup: func(e *testscript.Env) error {
			x, c := context.WithTimeout(context.Background(), scriptTimeout)
			s := &script{context: x, clock: clockwork.NewRealClock(), workDir: e.WorkDir}
			e.Values[scriptKey{}] = s
			e.Defer(c)
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"fleet": startFleet, "celeryreach": celeryreach, "request": request, "offer": offer, "until": until,
			"cut": partition, "heal": heal, "hostkill": killHost, "hoststop": stopHost, "hoststart": startHost, "ready": waitUntilReady,
			"platform": setPlatformFaults, "replace": replaceInFile, "runs": checkMaxRuns, "session": session,
		},
	})
}

type scriptKey struct{}

// script is the state of one running script.
type script struct {
	context    context.Context
	clock      clockwork.Clock
	workDir    string
	fleet      *fleet.Fleet
	log        logbuffer.Logbuffer
	transcript strings.Builder
	issuedKeys []string
}

func scriptOf(ts *testscript.TestScript) *script {
	return ts.Value(scriptKey{}).(*script)
}

// runningFleet returns the fleet of the script. It fails the script if no fleet
// has been started.
func runningFleet(ts *testscript.TestScript) *fleet.Fleet {
	f := scriptOf(ts).fleet
	if f == nil {
		ts.Fatalf("no fleet has been started")
	}
	return f
}
