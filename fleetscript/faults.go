package fleetscript

import (
	"os"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/knobs"
)

func names(ts *testscript.TestScript, neg bool, args []string, n int) []string {
	if neg || len(args) != n {
		ts.Fatalf("%d arguments wanted", n)
	}
	return args
}

func cut(ts *testscript.TestScript, neg bool, args []string) {
	a := names(ts, neg, args, 2)
	running(ts).Cut(a[0], a[1])
}

func heal(ts *testscript.TestScript, neg bool, args []string) {
	a := names(ts, neg, args, 2)
	running(ts).Heal(a[0], a[1])
}

func kill(ts *testscript.TestScript, neg bool, args []string) {
	running(ts).KillHost(names(ts, neg, args, 1)[0])
}

func stop(ts *testscript.TestScript, neg bool, args []string) {
	ts.Check(running(ts).StopHost(names(ts, neg, args, 1)[0]))
}

func start(ts *testscript.TestScript, neg bool, args []string) {
	running(ts).StartHost(names(ts, neg, args, 1)[0])
}

func ready(ts *testscript.TestScript, neg bool, args []string) {
	names(ts, neg, args, 0)
	ts.Check(running(ts).Ready(of(ts).context))
}

func platform(ts *testscript.TestScript, neg bool, args []string) {
	var k knobs.Knobs
	ts.Check(codec.Unmarshal([]byte(names(ts, neg, args, 1)[0]), &k))
	running(ts).Platform.Set(k)
}

func replace(ts *testscript.TestScript, neg bool, args []string) {
	a := names(ts, neg, args, 3)
	t := strings.ReplaceAll(ts.ReadFile(a[2]), a[0], a[1])
	ts.Check(os.WriteFile(ts.MkAbs(a[2]), []byte(t), 0o600))
}

// runs checks that no id was run more often than given.
func runs(ts *testscript.TestScript, neg bool, args []string) {
	n, err := strconv.Atoi(names(ts, neg, args, 1)[0])
	ts.Check(err)
	for k, v := range running(ts).Runs() {
		if v > n {
			ts.Fatalf("request %s ran %d times", k, v)
		}
	}
}
