package fleetscript

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

var (
	anyKey  = regexp.MustCompile(`\b[A-Z2-7]{26}\b`)
	anyHash = regexp.MustCompile(`\b[0-9a-f]{64}\b`)
	anyPort = regexp.MustCompile(`127\.0\.0\.1:[0-9]+`)
	anyTime = regexp.MustCompile(`good for [0-9a-z.µ]+`)
	anyID   = regexp.MustCompile(`-[A-Z2-7]{6}\b`)
)

// recordCall appends one call and its output to the transcript.
func (s *script) recordCall(call, output string, code int) {
	s.transcript.WriteString(call + "\n" + output)
	if code != 0 {
		fmt.Fprintf(&s.transcript, "exit code %d\n", code)
	}
	s.transcript.WriteString("\n")
}

// session prints the transcript. Values that differ between runs, such as keys,
// hashes, addresses and random ids, are replaced by placeholders.
func session(ts *testscript.TestScript, neg bool, args []string) {
	s := scriptOf(ts)
	if neg || len(args) != 0 {
		ts.Fatalf("usage: session")
	}
	fmt.Fprint(ts.Stdout(), s.normalize(s.transcript.String())) //nolint:errcheck // a buffer of the script
}

func (s *script) normalize(t string) string {
	if s.fleet != nil {
		for _, n := range s.fleet.Hosts() {
			h := s.fleet.Settings(n)
			t = strings.ReplaceAll(t, h.CallerAddress, n+":callers")
			t = strings.ReplaceAll(t, h.PeerAddress, n+":peers")
			t = strings.ReplaceAll(t, h.OperatorAddress, n+":operators")
		}
		for a, k := range s.fleet.Keys {
			t = strings.ReplaceAll(t, k, "KEY-"+a)
		}
	}
	t = anyKey.ReplaceAllString(t, "KEY")
	t = anyHash.ReplaceAllString(t, "HASH")
	t = anyTime.ReplaceAllString(t, "good for TIME")
	t = anyPort.ReplaceAllString(t, "ADDRESS")
	return anyID.ReplaceAllString(t, "-ID")
}
