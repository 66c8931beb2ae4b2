package fleetscript

import (
	"bytes"
	"fmt"
	"os"
	"regexp"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"celeryreach.example/celeryreach/cmd"
)

var fileArgument = regexp.MustCompile(`^[a-z]+\.(html|hujson|json)$`)

var issuedKey = regexp.MustCompile(`key: ([A-Z2-7]{26})\n`)

// celeryreach runs a command of the command line in this process. Arguments
// that look like file names are made absolute, because all scripts share the
// working directory of the process.
func celeryreach(ts *testscript.TestScript, neg bool, args []string) {
	s := scriptOf(ts)
	o, e, c := s.runCommand(ts, args)
	s.recordCall("$ celeryreach "+strings.Join(args, " "), o+e, c)
	fmt.Fprint(ts.Stdout(), o) //nolint:errcheck // a buffer of the script
	fmt.Fprint(ts.Stderr(), e) //nolint:errcheck // a buffer of the script
	if neg == (c == 0) {
		ts.Fatalf("exit code %d", c)
	}
}

func (s *script) runCommand(ts *testscript.TestScript, args []string) (out, err string, code int) {
	var o, e bytes.Buffer
	m := &cmd.Cmd{Out: &o, Err: &e, Getenv: ts.Getenv, Clock: s.clock}
	a := []string{"celeryreach"}
	for _, v := range args {
		if fileArgument.MatchString(v) {
			v = ts.MkAbs(v)
		}
		a = append(a, v)
	}
	code = m.Run(s.context, a)
	if k := issuedKey.FindStringSubmatch(o.String()); k != nil {
		s.issuedKeys = append(s.issuedKeys, k[1])
		ts.Setenv("ISSUED", k[1])
	}
	d := s.workDir + string(os.PathSeparator)
	return strings.ReplaceAll(o.String(), d, ""), strings.ReplaceAll(e.String(), d, ""), code
}

func request(ts *testscript.TestScript, neg bool, args []string) {
	s := scriptOf(ts)
	t, err := s.sendRequest(ts, args)
	if neg != (err != nil) {
		ts.Fatalf("request: %s%v", t, err)
	}
	if err != nil {
		t = "no answer\n"
	}
	s.recordCall("$ request "+strings.Join(args, " "), t, 0)
	fmt.Fprint(ts.Stdout(), t) //nolint:errcheck // a buffer of the script
}

func (s *script) sendRequest(ts *testscript.TestScript, args []string) (string, error) {
	f := runningFleet(ts)
	k := ""
	if len(args) > 2 && args[0] == "-key" {
		k = args[1]
		args = args[2:]
	}
	if len(args) < 4 || len(args) > 5 {
		ts.Fatalf("usage: request [-key KEY] HOST ACCOUNT METHOD PATH [ID]")
	}
	if k == "" {
		k = f.Keys[args[1]]
	}
	i := ""
	if len(args) == 5 {
		i = args[4]
	}
	c, b, err := f.SendKey(s.context, args[0], k, args[2], args[3], i)
	return fmt.Sprintf("%d %s\n", c, strings.TrimSpace(b)), err
}

// until runs a command repeatedly until its output matches. Polling is necessary
// because callers receive no notification of a state change on a host. The
// transcript contains one entry for all runs of the command together.
func until(ts *testscript.TestScript, neg bool, args []string) {
	s := scriptOf(ts)
	if neg || len(args) < 2 {
		ts.Fatalf("usage: until PATTERN celeryreach|request ARGS")
	}
	r, err := regexp.Compile(args[0])
	ts.Check(err)
	var t string
	err = runningFleet(ts).Await(s.context, args[0], func() bool {
		t = s.runOnce(ts, args[1], args[2:])
		return r.MatchString(t)
	})
	if err != nil {
		ts.Fatalf("%v; last output:\n%s", err, t)
	}
	s.recordCall("$ until "+strings.Join(args[1:], " "), t, 0)
	fmt.Fprint(ts.Stdout(), t) //nolint:errcheck // a buffer of the script
}

func (s *script) runOnce(ts *testscript.TestScript, name string, args []string) string {
	switch name {
	case "celeryreach":
		o, e, _ := s.runCommand(ts, args)
		return o + e
	case "request":
		t, err := s.sendRequest(ts, args)
		if err != nil {
			return "no answer\n"
		}
		return t
	default:
		ts.Fatalf("until: unsupported command %s", name)
		return ""
	}
}
