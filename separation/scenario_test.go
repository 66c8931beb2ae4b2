package separation_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/admission"
	"celeryreach.example/celeryreach/change"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/credential"
	"celeryreach.example/celeryreach/domain"
	"celeryreach.example/celeryreach/region"
	"celeryreach.example/celeryreach/staleness"
	"celeryreach.example/celeryreach/table"
)

// worldKey finds the world of a script.
type worldKey struct{}

// script is one running script: its world and what it may use.
type script struct {
	*testscript.TestScript
	world *world
}

// TestScenarios plays the sessions of testdata. Each opens with what callers
// and operators see, what happens in what order, and why.
func TestScenarios(t *testing.T) {
	c := make(map[string]func(t *testscript.TestScript, neg bool, args []string))
	for n, f := range map[string]func(s script, args []string){
		"hosts": hosts, "restart": restart, "stop": stop, "cut": cut, "part": part, "heal": heal, "store": storeKnob,
		"round": round, "poll": poll, "lease": leaseStep, "plan": publishPlan, "resume": resumePlan, "plans": plans, "wipe": wipe, "forks": forks, "advance": advance, "report": report, "commit": commitChange, "race": race, "show": show, "admit": admit, "torn": torn,
	} {
		c[n] = func(t *testscript.TestScript, _ bool, args []string) {
			f(script{TestScript: t, world: t.Value(worldKey{}).(*world)}, args)
		}
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata", Cmds: c, UpdateScripts: os.Getenv("UPDATE") != "",
		Setup: func(e *testscript.Env) error {
			e.Values[worldKey{}] = newWorld()
			return nil
		},
	})
}

func (s script) print(format string, args ...any) {
	fmt.Fprintf(&s.world.out, format+"\n", args...)
}

// report shows what the commands since the last report have printed.
func report(s script, _ []string) {
	_, err := s.world.out.WriteTo(s.Stdout())
	s.Check(err)
}

// hosts starts hosts, each written as name@domain@region.
func hosts(s script, args []string) {
	for _, a := range args {
		p := strings.Split(a, "@")
		s.world.start(p[0], p[1], p[2])
	}
}

func restart(s script, args []string) {
	for _, n := range args {
		m := s.world.hosts[n].self
		s.world.start(n, m.Domain, m.Region)
	}
}

func stop(s script, args []string) {
	for _, a := range args {
		for _, n := range s.world.members(a) {
			delete(s.world.hosts, n)
		}
	}
}

// cut loses what the first sends to the second.
func cut(s script, args []string) {
	s.world.cut(args[0], args[1])
}

// part cuts both directions.
func part(s script, args []string) {
	s.world.cut(args[0], args[1])
	s.world.cut(args[1], args[0])
}

func heal(s script, _ []string) {
	clear(s.world.cuts)
}

func storeKnob(s script, args []string) {
	switch args[0] {
	case "down", "up":
		s.world.down = args[0] == "down"
	case "lose":
		s.world.lose = 1
	}
}

func torn(s script, args []string) {
	s.world.torn[args[0]] = true
}

func round(s script, args []string) {
	for range number(s, args[0]) {
		s.world.round()
	}
}

func poll(s script, args []string) {
	for _, a := range args {
		for _, n := range s.world.members(a) {
			_ = s.world.hosts[n].poll()
		}
	}
}

func advance(s script, args []string) {
	d, err := time.ParseDuration(args[0])
	s.Check(err)
	s.world.clock.Advance(d)
}

// commitChange makes a change on a host: commit HOST EDIT ARGS...
func commitChange(s script, args []string) {
	h := s.world.hosts[args[0]]
	commitFrom(s, h, h.version(), args[1:])
}

func commitFrom(s script, h *node, from uint64, e []string) {
	a, ok, err := h.commit(from, func(c *config.Config) { edit(s, c, e) })
	switch {
	case err != nil:
		s.print("%s: %s", h.self.Name, err)
	case ok:
		s.print("%s: accepted %d", h.self.Name, a.Version)
	default:
		c := *h.follower.Snapshot().Config
		edit(s, &c, e)
		x := (&change.Change{Platform: h.world.platform(h.self.Name)}).Explain(context.Background(), from, c, a)
		s.print("%s: conflict, %d is accepted", h.self.Name, x.Accepted)
		for _, d := range x.Theirs {
			s.print("  theirs %s: %s -> %s", d.Path, d.Old, d.New)
		}
		for _, d := range x.Yours {
			s.print("  yours  %s: %s -> %s", d.Path, d.Old, d.New)
		}
	}
}

// race loses the answer of the next commit and lets another host follow it
// before the answer is read back: race HOST EDIT ARGS...
func race(s script, args []string) {
	s.world.lose = 1
	s.world.next = func() {
		h := s.world.hosts[args[0]]
		_ = h.poll()
		commitFrom(s, h, h.version(), args[1:])
	}
}

func edit(s script, c *config.Config, e []string) {
	switch e[0] {
	case "create":
		*c = initial()
	case "preset":
		c.Preset = e[1]
	case "withdraw":
		var k []credential.Credential
		for _, v := range c.Keys {
			if v.ID != e[1] {
				k = append(k, v)
			}
		}
		c.Keys = k
	case "rate":
		a := append([]account.Account(nil), c.Accounts...)
		for i := range a {
			if a[i].Name == e[1] {
				a[i].Rate = float64(number(s, e[2]))
			}
		}
		c.Accounts = a
	}
}

func initial() config.Config {
	return config.Config{
		Preset:       "Ordinary",
		Regions:      []region.Region{{Name: "lagos"}, {Name: "abuja"}},
		Domains:      []domain.Domain{{Name: "lagos-1", Region: "lagos"}, {Name: "lagos-2", Region: "lagos"}, {Name: "abuja-1", Region: "abuja"}},
		Accounts:     []account.Account{{Name: "unity", Rate: 40, Burst: 20}, {Name: "river", Rate: 10, Burst: 5}},
		Keys:         []credential.Credential{{ID: "k1", Account: "unity", Hash: credential.Hash("k1")}, {ID: "k2", Account: "river", Hash: credential.Hash("k2")}},
		KeyStaleness: staleness.Staleness{Idempotent: 10 * time.Minute, NonIdempotent: time.Minute},
	}
}

func leaseStep(s script, args []string) {
	for _, n := range args {
		s.world.hosts[n].stepLease()
	}
}

// publishPlan makes a plan if the host holds the lease: plan HOST REASON.
func publishPlan(s script, args []string) {
	h := s.world.hosts[args[0]]
	e, ok := h.lease.Held()
	if !ok {
		s.print("%s: does not hold the lease", args[0])
		return
	}
	a, ok, err := h.publish(e, args[1])
	s.print("%s: plan %d, accepted %t, error %v", args[0], a.Version, ok, err)
}

// resumePlan goes on behind the question whether the lease is held, as a
// process does that was paused there: resume HOST REASON.
func resumePlan(s script, args []string) {
	h := s.world.hosts[args[0]]
	e, _ := h.lease.Held()
	_, ok, err := h.publish(e, args[1])
	s.print("%s: accepted %t, error %v", args[0], ok, err)
}

// plans prints the plan on each host.
func plans(s script, _ []string) {
	for _, n := range s.world.names() {
		if p := s.world.hosts[n].plans.Plan(); p != nil {
			s.print("%s: plan %d of epoch %d: %s", n, p.Version, p.Epoch, p.Reason)
		}
	}
}

// wipe makes the platform forget its rows, as a restore from an old copy does.
func wipe(s script, _ []string) {
	s.world.table = new(table.Table)
}

// forks prints the hosts that have seen another content under their version.
func forks(s script, _ []string) {
	for _, n := range s.world.names() {
		s.print("%s: other contents seen %t", n, s.world.hosts[n].follower.Replica().Forked() > 0)
	}
}

// show prints the version on each host.
func show(s script, _ []string) {
	for _, n := range s.world.names() {
		v := "none"
		h := s.world.hosts[n]
		if c := h.follower.Snapshot(); c != nil {
			v = fmt.Sprintf("%d %s", c.Config.Version, c.Config.Preset)
		}
		s.print("%s: %s", n, v)
	}
}

// admit shows what a caller with a key gets: admit HOST KEY METHOD...
func admit(s script, args []string) {
	h := s.world.hosts[args[0]]
	a := &admission.Admission{Snapshot: h.follower.Snapshot, Stale: func(n bool) bool {
		return h.freshness.Stale(h.follower.Snapshot().Config.KeyStaleness, n)
	}}
	for _, m := range args[2:] {
		r := httptest.NewRequest(m, "/", nil)
		r.Header.Set(admission.KeyHeader, args[1])
		o := "admitted"
		if _, ok := a.Identify(r); !ok {
			o = "KeyUnknown"
		} else if !a.Trusts(m == http.MethodPost) {
			o = "KeyStale"
		}
		s.print("%s %s %s: %s", args[0], args[1], m, o)
	}
}

func number(s script, v string) int {
	n, err := strconv.Atoi(v)
	s.Check(err)
	return n
}
