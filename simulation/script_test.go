package simulation_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"celeryreach.example/celeryreach/memorytable"
	"celeryreach.example/celeryreach/simulation"
)

// scriptState is the simulation of one script: three failure domains, d0 and d1
// in region r0 and d2 in r1, account "a" with 40 requests per second and a
// burst of 20, and floors of half of each limit.
type scriptState struct {
	*simulation.Simulation
	numbers       map[string]int
	domains       []string
	partitioned   map[string]bool
	storeDown     map[string]bool
	loseResponses bool
}

func newScriptState() *scriptState {
	s := &scriptState{numbers: make(map[string]int), partitioned: make(map[string]bool), storeDown: make(map[string]bool)}
	s.Simulation = &simulation.Simulation{
		Hold: hold, StoreHold: time.Hour, Heartbeat: 200 * time.Millisecond, Poll: time.Second, MinEpochInterval: 2 * time.Second,
		Config: newConfig(0.5, domains), Table: new(memorytable.Memorytable), Random: rand.New(rand.NewPCG(1, 1)), Delay: s.delay, Store: s.store,
	}
	return s
}

func (s *scriptState) delay(from, to int) (time.Duration, bool) {
	return time.Millisecond, s.partitioned[s.domains[from]] == s.partitioned[s.domains[to]]
}

func (s *scriptState) store(host int) (reached, answered bool) {
	return !s.storeDown[s.domains[host]] && !s.storeDown["all"], !s.loseResponses
}

func (s *scriptState) host(ts *testscript.TestScript, name string) int {
	n, ok := s.numbers[name]
	if !ok {
		ts.Fatalf("no host %s", name)
	}
	return n
}

// Each file of testdata is one scenario. Its first lines describe what callers
// observe, the order of events, and the reason.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			e.Values["stage"] = newScriptState()
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"host": host, "run": run, "end": end, "pause": pause, "resume": pause, "leave": leave, "cut": cut, "heal": heal,
			"store": store, "part": partIs, "epoch": epoch, "slots": slotsAre, "admit": admit, "floors": floors,
		},
	})
}

func stateOf(ts *testscript.TestScript) *scriptState {
	return ts.Value("stage").(*scriptState)
}

// host NAME DOMAIN REGION [SPEED] starts a process.
func host(ts *testscript.TestScript, _ bool, a []string) {
	s, v := stateOf(ts), 1.0
	if len(a) > 3 {
		v = number(ts, a[3])
	}
	s.domains = append(s.domains, a[1])
	s.numbers[a[0]] = s.Add(a[0], a[1], a[2], v)
}

// run DURATION advances the simulated time.
func run(ts *testscript.TestScript, _ bool, a []string) {
	d, err := time.ParseDuration(a[0])
	ts.Check(err)
	stateOf(ts).Run(d)
}

// end NAME ends a process without an announcement.
func end(ts *testscript.TestScript, _ bool, a []string) {
	stateOf(ts).Kill(stateOf(ts).host(ts, a[0]))
}

// leave NAME makes a process announce to the others that it shuts down.
func leave(ts *testscript.TestScript, _ bool, a []string) {
	stateOf(ts).Leave(stateOf(ts).host(ts, a[0]))
}

// pause NAME and resume NAME pause and resume a process.
func pause(ts *testscript.TestScript, _ bool, a []string) {
	s := stateOf(ts)
	n := s.host(ts, a[0])
	s.Pause(n, s.Runs(n))
}

// cut DOMAIN separates a failure domain from the others, but not from the
// table.
func cut(ts *testscript.TestScript, _ bool, a []string) {
	stateOf(ts).partitioned[a[0]] = true
}

// heal ends all partitions.
func heal(ts *testscript.TestScript, _ bool, _ []string) {
	stateOf(ts).partitioned = make(map[string]bool)
}

// store out|in|lose|answer [DOMAIN] sets the result of calls to the table.
func store(ts *testscript.TestScript, _ bool, a []string) {
	s, d := stateOf(ts), "all"
	if len(a) > 1 {
		d = a[1]
	}
	switch a[0] {
	case "out", "in":
		s.storeDown[d] = a[0] == "out"
	default:
		s.loseResponses = a[0] == "lose"
	}
}

// floors FRACTION sets a configuration with another floor fraction.
func floors(ts *testscript.TestScript, _ bool, a []string) {
	stateOf(ts).Config = newConfig(number(ts, a[0]), domains)
}

// part NAME LIMIT VALUE checks the fraction that a host may use, with a
// tolerance of 1%.
func partIs(ts *testscript.TestScript, neg bool, a []string) {
	s := stateOf(ts)
	v, w := s.Entitlement(s.host(ts, a[0])).Fraction(a[1]), number(ts, a[2])
	if ok := v > w-0.01 && v < w+0.01; ok == neg {
		ts.Fatalf("%s uses %.4f of %s", a[0], v, a[1])
	}
}

// epoch NAME N checks the epoch of a host.
func epoch(ts *testscript.TestScript, neg bool, a []string) {
	s := stateOf(ts)
	if e := s.Entitlement(s.host(ts, a[0])).Epoch(); (strconv.FormatUint(e, 10) == a[1]) == neg {
		ts.Fatalf("%s is on epoch %d", a[0], e)
	}
}

// slots NAME LIMIT TOTAL COUNT checks how many slots a host may use.
func slotsAre(ts *testscript.TestScript, neg bool, a []string) {
	s := stateOf(ts)
	n := len(s.Entitlement(s.host(ts, a[0])).Slots(a[1], int(number(ts, a[2]))))
	if (n == int(number(ts, a[3]))) == neg {
		ts.Fatalf("%s uses %d slots of %s", a[0], n, a[1])
	}
}

// admit NAME OFFERED ADMITTED sends requests of account "a" without waiting.
func admit(ts *testscript.TestScript, neg bool, a []string) {
	s, n := stateOf(ts), 0
	q := s.Quota(s.host(ts, a[0]))
	for range int(number(ts, a[1])) {
		if q.Take("a") {
			n++
		}
	}
	if (n == int(number(ts, a[2]))) == neg {
		ts.Fatalf("%s admitted %d", a[0], n)
	}
}

func number(ts *testscript.TestScript, v string) float64 {
	f, err := strconv.ParseFloat(v, 64)
	ts.Check(err)
	return f
}
