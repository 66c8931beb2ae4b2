// Package scenario_test simulates failures of complete deployments: real hosts
// on loopback, with stand-ins for the platform and the backend servers. The
// scripts in testdata are testscript scripts with the commands that commands()
// lists.
package scenario_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/rogpeppe/go-internal/testscript"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/backendfaults"
	"celeryreach.example/celeryreach/cmd"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/domain"
	"celeryreach.example/celeryreach/fleet"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/platformfaults"
	"celeryreach.example/celeryreach/preset"
	"celeryreach.example/celeryreach/region"
	"celeryreach.example/celeryreach/service"
	"celeryreach.example/celeryreach/settings"
	"celeryreach.example/celeryreach/staleness"
)

const (
	scriptTimeout = 40 * time.Second // limit of a script, reached only if it hangs
	hold          = 1500 * time.Millisecond
)

type scriptState struct {
	ctx        context.Context
	fleet      *fleet.Fleet
	callers    *callerGroup
	flipResult chan error
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			x, f := context.WithTimeout(context.Background(), scriptTimeout)
			w := &scriptState{ctx: x}
			e.Values["state"] = w
			e.Defer(func() {
				f()
				if w.fleet != nil {
					_ = w.fleet.Stop()
				}
			})
			return nil
		},
		Cmds: commands(),
	})
}

func commands() map[string]func(*testscript.TestScript, bool, []string) {
	return map[string]func(*testscript.TestScript, bool, []string){
		"deploy":   deploy, // deploy HOSTS: start a deployment with HOSTS hosts in each failure domain
		"send":     send,   // send HOST ACCOUNT METHOD PATH [ID]: send a request and print its outcome
		"await":    await,  // await REGEXP COMMAND...: run send or operate until its output matches
		"runs":     runs,   // runs ID N: check that the backend servers ran the id N times
		"cut":      linkCommand(func(w *scriptState, a, b string) { w.fleet.Partition(a, b) }),
		"heal":     linkCommand(func(w *scriptState, a, b string) { w.fleet.Heal(a, b) }),
		"crash":    hostCommand(func(w *scriptState, h string) error { w.fleet.KillHost(h); return nil }),
		"replace":  hostCommand(func(w *scriptState, h string) error { w.fleet.StartHost(h); return nil }),
		"shutdown": hostCommand(func(w *scriptState, h string) error { return w.fleet.StopHost(h) }),
		"down":     stopBackends,       // down BACKEND...: stop backend servers
		"mute":     muteBackends,       // mute BACKEND...: make backend servers run requests without answering
		"store":    setStoreFault,      // store ok|out|slow|lose: set the state of the platform's store
		"operate":  operate,            // operate HOST ARGUMENT...: run the operators' command line against a host
		"flip":     startPresetFlips,   // flip HOST N: switch between the presets N times in the background
		"flipped":  waitForPresetFlips, // flipped: wait until flip has ended
		"crowd":    crowdCommand,       // crowd start ACCOUNT HOST... or crowd stop: run callers in the background
		"burst":    burst,              // burst ACCOUNT N HOST...: send N requests to each host and check the account's rate limit
	}
}

func stateOf(ts *testscript.TestScript) *scriptState {
	return ts.Value("state").(*scriptState)
}

func deploy(ts *testscript.TestScript, _ bool, args []string) {
	w := stateOf(ts)
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	p := preset.Preset{
		Name: "Ordinary", ShiftCap: 0.2, ShiftInterval: time.Second, Headroom: 0.1, GrowthCap: 1, FloorFraction: 0.5,
		MaxWait: time.Second, LookupTTL: time.Second, RetryBudget: 0.2,
	}
	k := p
	k.Name = "Peak"
	k.MaxWait = 500 * time.Millisecond
	k.FloorFraction = 0.1
	w.fleet = &fleet.Fleet{
		Clock: clockwork.NewRealClock(), Log: log.New(io.Discard), HostsPerDomain: n, BackendsPerService: 2, Slots: 4,
		RequestDuration: 2 * time.Millisecond,
		AdjustSettings: func(s *settings.Settings) {
			s.Hold = hold
			s.Heartbeat = hold / 15
		},
		Config: config.Config{
			Preset: "Ordinary", Presets: []preset.Preset{p, k},
			Regions: []region.Region{{Name: "lagos"}, {Name: "abuja"}},
			Domains: []domain.Domain{{Name: "l1", Region: "lagos"}, {Name: "l2", Region: "lagos"}, {Name: "a1", Region: "abuja"}},
			Services: []service.Service{
				{Name: "Listings", Prefix: "/listings/", Timeout: 3 * time.Second},
				{Name: "Deposits", Prefix: "/deposits/", Timeout: 5 * time.Second},
			},
			Accounts:     []account.Account{{Name: "unity", Rate: 300, Burst: 120}, {Name: "river", Rate: 60, Burst: 30}},
			KeyStaleness: staleness.Staleness{Idempotent: time.Minute, NonIdempotent: 3 * time.Second},
		},
	}
	ts.Check(w.fleet.Start(w.ctx))
	// A new deployment refuses requests until the hosts have received the first
	// division of the rate limits.
	for _, h := range w.fleet.Hosts() {
		ts.Check(w.fleet.Await(w.ctx, "answers from "+h, func() bool {
			return w.send([]string{h, "unity", http.MethodGet, "/listings/1"}) == "answered"
		}))
	}
}

func send(ts *testscript.TestScript, _ bool, args []string) {
	w := stateOf(ts)
	fmt.Fprintln(ts.Stdout(), w.send(args))
}

// send sends a request and returns "answered" for status 200 and otherwise the
// outcome and Ran from the response. If the connection fails, for example because
// the host is dead, send returns "broken".
func (w *scriptState) send(args []string) string {
	id := ""
	if len(args) > 4 {
		id = args[4]
	}
	c, b, err := w.fleet.Send(w.ctx, args[0], args[1], args[2], args[3], id)
	if err != nil {
		return "broken"
	}
	if c == http.StatusOK {
		return "answered"
	}
	var o outcome.Outcome
	if err := codec.Unmarshal([]byte(b), &o); err != nil {
		return fmt.Sprintf("unreadable %d %q", c, b)
	}
	return o.Outcome + " ran=" + o.Ran
}

func await(ts *testscript.TestScript, _ bool, args []string) {
	w := stateOf(ts)
	r := regexp.MustCompile(args[0])
	var o string
	defer func() { ts.Logf("last: %s", o) }()
	ts.Check(w.fleet.Await(w.ctx, strings.Join(args, " "), func() bool {
		switch args[1] {
		case "send":
			o = w.send(args[2:])
		case "operate":
			_, o = w.operate(args[2:])
		default:
			ts.Fatalf("await: unsupported command %s", args[1])
		}
		return r.MatchString(o)
	}))
}

func runs(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.Atoi(args[1])
	ts.Check(err)
	if r := stateOf(ts).fleet.RunCounts()[args[0]]; r != n {
		ts.Fatalf("id %s ran %d times, want %d", args[0], r, n)
	}
}

// linkCommand returns a script command that calls f with two labels.
func linkCommand(f func(w *scriptState, a, b string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		f(stateOf(ts), args[0], args[1])
	}
}

// hostCommand returns a script command that calls f for each host.
func hostCommand(f func(w *scriptState, host string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		for _, h := range args {
			ts.Check(f(stateOf(ts), h))
		}
	}
}

func stopBackends(ts *testscript.TestScript, _ bool, args []string) {
	for _, b := range args {
		ts.Check(stateOf(ts).fleet.StopBackend(b))
	}
}

func muteBackends(ts *testscript.TestScript, _ bool, args []string) {
	for _, b := range args {
		stateOf(ts).fleet.Backend(b).SetFaults(backendfaults.Backendfaults{Mute: true})
	}
}

func setStoreFault(ts *testscript.TestScript, _ bool, args []string) {
	k := map[string]platformfaults.Platformfaults{
		"ok": {}, "out": {Outage: true}, "slow": {Delay: 3 * time.Second}, "lose": {LoseAnswers: 1},
	}
	v, ok := k[args[0]]
	if !ok {
		ts.Fatalf("store: unknown state %s, want ok, out, slow or lose", args[0])
	}
	stateOf(ts).fleet.Platform.SetFaults(v)
}

func operate(ts *testscript.TestScript, neg bool, args []string) {
	c, o := stateOf(ts).operate(args)
	fmt.Fprintf(ts.Stdout(), "%s", o)
	if (c != 0) != neg {
		ts.Fatalf("exit code %d: %s", c, o)
	}
}

func (w *scriptState) operate(args []string) (int, string) {
	var b bytes.Buffer
	m := &cmd.Cmd{Out: &b, Err: &b, Clock: w.fleet.Clock, Getenv: func(n string) string {
		switch n {
		case "CELERYREACH_OPERATOR":
			return "http://" + w.fleet.Settings(args[0]).OperatorAddress
		case "CELERYREACH_OPERATOR_KEY":
			return w.fleet.OperatorKey
		default:
			return ""
		}
	}}
	c := m.Run(w.ctx, append([]string{"celeryreach"}, args[1:]...))
	return c, b.String()
}

// startPresetFlips switches between the presets while the following commands
// run.
func startPresetFlips(ts *testscript.TestScript, _ bool, args []string) {
	w := stateOf(ts)
	n, err := strconv.Atoi(args[1])
	ts.Check(err)
	w.flipResult = make(chan error, 1)
	go func() {
		for i := range n {
			p := []string{"Peak", "Ordinary"}[i%2]
			if c, o := w.operate([]string{args[0], "preset", "use", "-wait", p}); c != 0 {
				w.flipResult <- fmt.Errorf("preset %s: exit code %d: %s", p, c, o)
				return
			}
			<-w.fleet.Clock.After(hold)
		}
		w.flipResult <- nil
	}()
}

func waitForPresetFlips(ts *testscript.TestScript, _ bool, _ []string) {
	ts.Check(<-stateOf(ts).flipResult)
}
