package fleetscript

import (
	"os"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/platformfaults"
)

func exactArgs(ts *testscript.TestScript, neg bool, args []string, n int) []string {
	if neg || len(args) != n {
		ts.Fatalf("want exactly %d arguments", n)
	}
	return args
}

func partition(ts *testscript.TestScript, neg bool, args []string) {
	a := exactArgs(ts, neg, args, 2)
	runningFleet(ts).Partition(a[0], a[1])
}

func heal(ts *testscript.TestScript, neg bool, args []string) {
	a := exactArgs(ts, neg, args, 2)
	runningFleet(ts).Heal(a[0], a[1])
}

func killHost(ts *testscript.TestScript, neg bool, args []string) {
	runningFleet(ts).KillHost(exactArgs(ts, neg, args, 1)[0])
}

func stopHost(ts *testscript.TestScript, neg bool, args []string) {
	ts.Check(runningFleet(ts).StopHost(exactArgs(ts, neg, args, 1)[0]))
}

func startHost(ts *testscript.TestScript, neg bool, args []string) {
	runningFleet(ts).StartHost(exactArgs(ts, neg, args, 1)[0])
}

func waitUntilReady(ts *testscript.TestScript, neg bool, args []string) {
	exactArgs(ts, neg, args, 0)
	ts.Check(runningFleet(ts).Ready(scriptOf(ts).context))
}

func setPlatformFaults(ts *testscript.TestScript, neg bool, args []string) {
	var k platformfaults.Platformfaults
	ts.Check(codec.Unmarshal([]byte(exactArgs(ts, neg, args, 1)[0]), &k))
	runningFleet(ts).Platform.SetFaults(k)
}

func replaceInFile(ts *testscript.TestScript, neg bool, args []string) {
	a := exactArgs(ts, neg, args, 3)
	t := strings.ReplaceAll(ts.ReadFile(a[2]), a[0], a[1])
	ts.Check(os.WriteFile(ts.MkAbs(a[2]), []byte(t), 0o600))
}

// checkMaxRuns fails the script if any request id was run more often than the
// given number.
func checkMaxRuns(ts *testscript.TestScript, neg bool, args []string) {
	n, err := strconv.Atoi(exactArgs(ts, neg, args, 1)[0])
	ts.Check(err)
	for k, v := range runningFleet(ts).RunCounts() {
		if v > n {
			ts.Fatalf("request %s ran %d times", k, v)
		}
	}
}
