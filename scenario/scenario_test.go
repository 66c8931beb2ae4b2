// Package scenario_test plays failures of whole deployments: real hosts on
// loopback, with stand-ins for the platform and for backend servers. The
// scripts in testdata are in the language of testscript with the commands that
// commands() lists.
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
	"celeryreach.example/celeryreach/cmd"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/domain"
	"celeryreach.example/celeryreach/fleet"
	"celeryreach.example/celeryreach/knobs"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/preset"
	"celeryreach.example/celeryreach/region"
	"celeryreach.example/celeryreach/service"
	"celeryreach.example/celeryreach/settings"
	"celeryreach.example/celeryreach/staleness"
)

const (
	patience = 40 * time.Second // of a script; only a hang uses it up
	hold     = 1500 * time.Millisecond
)

type world struct {
	ctx   context.Context
	fleet *fleet.Fleet
	crowd *crowd
	flips chan error
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			x, f := context.WithTimeout(context.Background(), patience)
			w := &world{ctx: x}
			e.Values["world"] = w
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
		"deploy":   deploy, // deploy HOSTS-A-DOMAIN: start a deployment
		"send":     send,   // send HOST ACCOUNT METHOD PATH [ID]: print how it ended
		"await":    await,  // await REGEXP COMMAND...: until its output matches
		"runs":     runs,   // runs ID N: the judge's count of runs
		"cut":      links(func(w *world, a, b string) { w.fleet.Cut(a, b) }),
		"heal":     links(func(w *world, a, b string) { w.fleet.Heal(a, b) }),
		"crash":    hosts(func(w *world, h string) error { w.fleet.KillHost(h); return nil }),
		"replace":  hosts(func(w *world, h string) error { w.fleet.StartHost(h); return nil }),
		"shutdown": hosts(func(w *world, h string) error { return w.fleet.StopHost(h) }),
		"down":     down,    // down BACKEND...: end backend servers
		"store":    store,   // store ok|out|slow|lose: what the platform does
		"operate":  operate, // operate HOST ARGUMENT...: the operators' command line
		"flip":     flip,    // flip HOST N: switch between the presets N times, beside what follows
		"flipped":  flipped, // flipped: wait for the end of flip
		"crowd":    crowds,  // crowd start ACCOUNT HOST... or crowd stop: callers in the background
		"burst":    burst,   // burst ACCOUNT N HOST...: send N requests to each, judge by rate and burst
	}
}

func of(ts *testscript.TestScript) *world {
	return ts.Value("world").(*world)
}

func deploy(ts *testscript.TestScript, _ bool, args []string) {
	w := of(ts)
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
		Work: 2 * time.Millisecond,
		Adjust: func(s *settings.Settings) {
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
	// A new deployment refuses until the first division of the limits is known.
	for _, h := range w.fleet.Hosts() {
		ts.Check(w.fleet.Await(w.ctx, "answers of "+h, func() bool {
			return w.send([]string{h, "unity", http.MethodGet, "/listings/1"}) == "answered"
		}))
	}
}

func send(ts *testscript.TestScript, _ bool, args []string) {
	w := of(ts)
	fmt.Fprintln(ts.Stdout(), w.send(args))
}

// send returns "answered" or the outcome with Ran. A connection that broke is
// what a caller of a dead host sees.
func (w *world) send(args []string) string {
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
	w := of(ts)
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
			ts.Fatalf("await: no command %s", args[1])
		}
		return r.MatchString(o)
	}))
}

func runs(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.Atoi(args[1])
	ts.Check(err)
	if r := of(ts).fleet.Runs()[args[0]]; r != n {
		ts.Fatalf("id %s was run %d times, not %d", args[0], r, n)
	}
}

// links makes a command of a function of two places.
func links(f func(w *world, a, b string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		f(of(ts), args[0], args[1])
	}
}

// hosts makes a command of a function of one host.
func hosts(f func(w *world, host string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		for _, h := range args {
			ts.Check(f(of(ts), h))
		}
	}
}

func down(ts *testscript.TestScript, _ bool, args []string) {
	for _, b := range args {
		ts.Check(of(ts).fleet.StopBackend(b))
	}
}

func store(ts *testscript.TestScript, _ bool, args []string) {
	k := map[string]knobs.Knobs{
		"ok": {}, "out": {Outage: true}, "slow": {Delay: 3 * time.Second}, "lose": {LoseAnswers: 1},
	}
	v, ok := k[args[0]]
	if !ok {
		ts.Fatalf("store: %s is none of ok, out, slow, lose", args[0])
	}
	of(ts).fleet.Platform.Set(v)
}

func operate(ts *testscript.TestScript, neg bool, args []string) {
	c, o := of(ts).operate(args)
	fmt.Fprintf(ts.Stdout(), "%s", o)
	if (c != 0) != neg {
		ts.Fatalf("exit code %d: %s", c, o)
	}
}

func (w *world) operate(args []string) (int, string) {
	var b bytes.Buffer
	m := &cmd.Cmd{Out: &b, Err: &b, Clock: w.fleet.Clock, Getenv: func(n string) string {
		switch n {
		case "CELERYREACH_OPERATOR":
			return "http://" + w.fleet.Settings(args[0]).OperatorAddress
		case "CELERYREACH_OPERATOR_KEY":
			return w.fleet.Operator
		default:
			return ""
		}
	}}
	c := m.Run(w.ctx, append([]string{"celeryreach"}, args[1:]...))
	return c, b.String()
}

// flip switches between the presets beside the commands that follow.
func flip(ts *testscript.TestScript, _ bool, args []string) {
	w := of(ts)
	n, err := strconv.Atoi(args[1])
	ts.Check(err)
	w.flips = make(chan error, 1)
	go func() {
		for i := range n {
			p := []string{"Peak", "Ordinary"}[i%2]
			if c, o := w.operate([]string{args[0], "preset", "use", "-wait", p}); c != 0 {
				w.flips <- fmt.Errorf("preset %s: exit code %d: %s", p, c, o)
				return
			}
			<-w.fleet.Clock.After(hold)
		}
		w.flips <- nil
	}()
}

func flipped(ts *testscript.TestScript, _ bool, _ []string) {
	ts.Check(<-of(ts).flips)
}
