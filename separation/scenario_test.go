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
	"celeryreach.example/celeryreach/authenticator"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/configcommit"
	"celeryreach.example/celeryreach/credential"
	"celeryreach.example/celeryreach/domain"
	"celeryreach.example/celeryreach/memorytable"
	"celeryreach.example/celeryreach/region"
	"celeryreach.example/celeryreach/staleness"
)

// clusterKey is the key of a script's cluster in the testscript environment.
type clusterKey struct{}

// script is a running script and the cluster that it acts on.
type script struct {
	*testscript.TestScript
	cluster *cluster
}

// TestScenarios runs the scripts in testdata. Each begins with comments on the failure
// that it simulates and its effects for callers and operators.
func TestScenarios(t *testing.T) {
	c := make(map[string]func(t *testscript.TestScript, neg bool, args []string))
	for n, f := range map[string]func(s script, args []string){
		"hosts": startHosts, "restart": restartHosts, "stop": stopHosts, "cut": blockLink, "part": partition, "heal": healLinks, "store": setStore,
		"round": runRounds, "poll": pollHosts, "lease": stepLeases, "plan": publishPlan, "resume": resumePlan, "plans": printPlans, "wipe": resetTable, "forks": printContentConflicts, "advance": advanceClock, "report": printOutput, "commit": commitChange, "race": raceCommit, "show": printVersions, "admit": printAdmission, "torn": truncateContent,
	} {
		c[n] = func(t *testscript.TestScript, _ bool, args []string) {
			f(script{TestScript: t, cluster: t.Value(clusterKey{}).(*cluster)}, args)
		}
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata", Cmds: c, UpdateScripts: os.Getenv("UPDATE") != "",
		Setup: func(e *testscript.Env) error {
			e.Values[clusterKey{}] = newCluster()
			return nil
		},
	})
}

// print adds a line to the output that the next "report" command shows.
func (s script) print(format string, args ...any) {
	fmt.Fprintf(&s.cluster.output, format+"\n", args...)
}

// printOutput writes the output of the commands since the previous report to the
// script's standard output: report.
func printOutput(s script, _ []string) {
	_, err := s.cluster.output.WriteTo(s.Stdout())
	s.Check(err)
}

// startHosts starts hosts: hosts NAME@DOMAIN@REGION...
func startHosts(s script, args []string) {
	for _, a := range args {
		p := strings.Split(a, "@")
		s.cluster.startHost(p[0], p[1], p[2])
	}
}

// restartHosts replaces the processes of hosts: restart HOST...
func restartHosts(s script, args []string) {
	for _, n := range args {
		m := s.cluster.hosts[n].self
		s.cluster.startHost(n, m.Domain, m.Region)
	}
}

// stopHosts removes hosts: stop HOST|DOMAIN|REGION...
func stopHosts(s script, args []string) {
	for _, a := range args {
		for _, n := range s.cluster.hostsIn(a) {
			delete(s.cluster.hosts, n)
		}
	}
}

// blockLink drops all messages from the first to the second: cut FROM TO.
func blockLink(s script, args []string) {
	s.cluster.block(args[0], args[1])
}

// partition drops all messages in both directions: part A B.
func partition(s script, args []string) {
	s.cluster.block(args[0], args[1])
	s.cluster.block(args[1], args[0])
}

// healLinks unblocks all links: heal.
func healLinks(s script, _ []string) {
	clear(s.cluster.blocked)
}

// setStore makes the store fail, work again, or lose its answer to the next commit:
// store down|up|lose.
func setStore(s script, args []string) {
	switch args[0] {
	case "down", "up":
		s.cluster.storeDown = args[0] == "down"
	case "lose":
		s.cluster.loseAnswers = 1
	}
}

// truncateContent makes the platform or a host return only half of each content:
// torn platform|HOST.
func truncateContent(s script, args []string) {
	s.cluster.truncated[args[0]] = true
}

// runRounds runs rounds of heartbeats: round COUNT.
func runRounds(s script, args []string) {
	for range parseInt(s, args[0]) {
		s.cluster.runRound()
	}
}

// pollHosts makes hosts read the accepted version from the platform:
// poll HOST|DOMAIN|REGION...
func pollHosts(s script, args []string) {
	for _, a := range args {
		for _, n := range s.cluster.hostsIn(a) {
			_ = s.cluster.hosts[n].poll()
		}
	}
}

func advanceClock(s script, args []string) {
	d, err := time.ParseDuration(args[0])
	s.Check(err)
	s.cluster.clock.Advance(d)
}

// commitChange commits a configuration change through a host:
// commit HOST EDIT ARGS...
func commitChange(s script, args []string) {
	h := s.cluster.hosts[args[0]]
	commitFrom(s, h, h.version(), args[1:])
}

func commitFrom(s script, h *testHost, from uint64, e []string) {
	a, ok, err := h.commit(from, func(c *config.Config) { editConfig(s, c, e) })
	switch {
	case err != nil:
		s.print("%s: %s", h.self.Name, err)
	case ok:
		s.print("%s: accepted %d", h.self.Name, a.Version)
	default:
		c := *h.configFollower.Snapshot().Config
		editConfig(s, &c, e)
		x := (&configcommit.Configcommit{Store: h.cluster.platform(h.self.Name)}).Explain(context.Background(), from, c, a)
		s.print("%s: conflict, %d is accepted", h.self.Name, x.Accepted)
		for _, d := range x.Theirs {
			s.print("  theirs %s: %s -> %s", d.Path, d.Old, d.New)
		}
		for _, d := range x.Yours {
			s.print("  yours  %s: %s -> %s", d.Path, d.Old, d.New)
		}
	}
}

// raceCommit makes the store lose its answer to the next commit. Before the host that
// made this commit reads the row back, HOST commits another change:
// race HOST EDIT ARGS...
func raceCommit(s script, args []string) {
	s.cluster.loseAnswers = 1
	s.cluster.onLostAnswer = func() {
		h := s.cluster.hosts[args[0]]
		_ = h.poll()
		commitFrom(s, h, h.version(), args[1:])
	}
}

func editConfig(s script, c *config.Config, e []string) {
	switch e[0] {
	case "create":
		*c = initialConfig()
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
				a[i].Rate = float64(parseInt(s, e[2]))
			}
		}
		c.Accounts = a
	}
}

func initialConfig() config.Config {
	return config.Config{
		Preset:       "Ordinary",
		Regions:      []region.Region{{Name: "lagos"}, {Name: "abuja"}},
		Domains:      []domain.Domain{{Name: "lagos-1", Region: "lagos"}, {Name: "lagos-2", Region: "lagos"}, {Name: "abuja-1", Region: "abuja"}},
		Accounts:     []account.Account{{Name: "unity", Rate: 40, Burst: 20}, {Name: "river", Rate: 10, Burst: 5}},
		Keys:         []credential.Credential{{ID: "k1", Account: "unity", Hash: credential.Hash("k1")}, {ID: "k2", Account: "river", Hash: credential.Hash("k2")}},
		KeyStaleness: staleness.Staleness{Idempotent: 10 * time.Minute, NonIdempotent: time.Minute},
	}
}

// stepLeases makes hosts renew or acquire the lease once: lease HOST...
func stepLeases(s script, args []string) {
	for _, n := range args {
		s.cluster.hosts[n].stepLease()
	}
}

// publishPlan publishes a plan if the host holds the lease: plan HOST REASON.
func publishPlan(s script, args []string) {
	h := s.cluster.hosts[args[0]]
	e, ok := h.lease.Held()
	if !ok {
		s.print("%s: does not hold the lease", args[0])
		return
	}
	a, ok, err := h.publish(e, args[1])
	s.print("%s: plan %d, accepted %t, error %v", args[0], a.Version, ok, err)
}

// resumePlan publishes a plan without checking that the host holds the lease. It
// simulates a process that was paused after the check: resume HOST REASON.
func resumePlan(s script, args []string) {
	h := s.cluster.hosts[args[0]]
	e, _ := h.lease.Held()
	_, ok, err := h.publish(e, args[1])
	s.print("%s: accepted %t, error %v", args[0], ok, err)
}

// printPlans prints each host's current plan: plans.
func printPlans(s script, _ []string) {
	for _, n := range s.cluster.hostNames() {
		if p := s.cluster.hosts[n].plans.Plan(); p != nil {
			s.print("%s: plan %d of epoch %d: %s", n, p.Version, p.Epoch, p.Reason)
		}
	}
}

// resetTable removes all rows of the platform's table, as a restore from an old
// backup would: wipe.
func resetTable(s script, _ []string) {
	s.cluster.table = new(memorytable.Memorytable)
}

// printContentConflicts prints for each host whether it has received two different
// contents with the same version number: forks.
func printContentConflicts(s script, _ []string) {
	for _, n := range s.cluster.hostNames() {
		s.print("%s: other contents seen %t", n, s.cluster.hosts[n].configFollower.Replica().Divergences() > 0)
	}
}

// printVersions prints each host's configuration version and preset: show.
func printVersions(s script, _ []string) {
	for _, n := range s.cluster.hostNames() {
		v := "none"
		h := s.cluster.hosts[n]
		if c := h.configFollower.Snapshot(); c != nil {
			v = fmt.Sprintf("%d %s", c.Config.Version, c.Config.Preset)
		}
		s.print("%s: %s", n, v)
	}
}

// printAdmission prints whether a host admits requests with a key:
// admit HOST KEY METHOD...
func printAdmission(s script, args []string) {
	h := s.cluster.hosts[args[0]]
	a := &authenticator.Authenticator{Snapshot: h.configFollower.Snapshot, AreKeysStale: func(n bool) bool {
		return h.freshness.Stale(h.configFollower.Snapshot().Config.KeyStaleness, n)
	}}
	for _, m := range args[2:] {
		r := httptest.NewRequest(m, "/", nil)
		r.Header.Set(authenticator.KeyHeader, args[1])
		o := "admitted"
		if _, ok := a.Identify(r); !ok {
			o = "KeyUnknown"
		} else if !a.MayUseKeys(m == http.MethodPost) {
			o = "KeyStale"
		}
		s.print("%s %s %s: %s", args[0], args[1], m, o)
	}
}

func parseInt(s script, v string) int {
	n, err := strconv.Atoi(v)
	s.Check(err)
	return n
}
