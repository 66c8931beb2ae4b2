package fleetscript

import (
	"expvar"
	"strconv"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rogpeppe/go-internal/testscript"

	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/document"
	"celeryreach.example/celeryreach/fleet"
)

const (
	defaultSlots    = 4
	requestDuration = 2 * time.Millisecond
)

func startFleet(ts *testscript.TestScript, neg bool, args []string) {
	s := scriptOf(ts)
	if neg || s.fleet != nil {
		ts.Fatalf("usage: fleet [-hosts N] [-backends N] [-slots N] [-unconfigured] FILE (once per script)")
	}
	f := &fleet.Fleet{
		Clock: s.clock, HostsPerDomain: 1, BackendsPerService: 1, Slots: defaultSlots, RequestDuration: requestDuration,
		Log: log.NewWithOptions(&s.log, log.Options{Level: log.DebugLevel, Formatter: log.LogfmtFormatter}),
	}
	f.Config = readConfig(ts, parseOptions(ts, f, args))
	s.fleet = f
	ts.Defer(func() {
		ts.Check(f.Stop())
		s.checkNoKeyLeaked(ts)
	})
	ts.Check(f.Start(s.context))
	h := f.Settings(f.Hosts()[0])
	ts.Setenv("CELERYREACH_OPERATOR", "http://"+h.OperatorAddress)
	ts.Setenv("CELERYREACH_OPERATOR_KEY", f.OperatorKey)
	ts.Setenv("CELERYREACH_LOOKUP", "http://"+h.CallerAddress)
	ts.Setenv("PLATFORM", f.PlatformURL)
}

// parseOptions sets fields of the fleet from the options and returns the name
// of the configuration file.
func parseOptions(ts *testscript.TestScript, f *fleet.Fleet, args []string) string {
	n := map[string]*int{"-hosts": &f.HostsPerDomain, "-backends": &f.BackendsPerService, "-slots": &f.Slots}
	for len(args) > 1 {
		if args[0] == "-unconfigured" {
			f.Unconfigured = true
			args = args[1:]
			continue
		}
		p := n[args[0]]
		if p == nil {
			ts.Fatalf("fleet: unknown option %s", args[0])
		}
		v, err := strconv.Atoi(args[1])
		ts.Check(err)
		*p = v
		args = args[2:]
	}
	if len(args) != 1 {
		ts.Fatalf("fleet: the configuration file is missing")
	}
	return args[0]
}

func readConfig(ts *testscript.TestScript, file string) config.Config {
	d, err := document.Parse([]byte(ts.ReadFile(file)))
	ts.Check(err)
	var c config.Config
	for _, m := range d.Decode(&c) {
		ts.Fatalf("%s: %s", file, m)
	}
	c.Backends = nil // the fleet adds its own backend servers
	return c
}

// checkNoKeyLeaked fails the script if a key appears in a log line or a metric,
// because both are copied to places that many people can read.
func (s *script) checkNoKeyLeaked(ts *testscript.TestScript) {
	k := append([]string{s.fleet.OperatorKey}, s.issuedKeys...)
	for _, v := range s.fleet.Keys {
		k = append(k, v)
	}
	t := s.log.String()
	expvar.Do(func(v expvar.KeyValue) { t += v.Key + " " + v.Value.String() + "\n" })
	for _, v := range k {
		if strings.Contains(t, v) {
			ts.Fatalf("a secret key appears in the log or in a metric")
		}
	}
}
