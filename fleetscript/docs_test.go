package fleetscript_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// operatorPages are the operators' pages whose commands the scripts doc_*.txtar
// run.
var operatorPages = []string{"first-deployment", "ordinary-day", "peak", "maintenance", "hosts", "keys", "burn-report", "lost-region", "store-outage"}

// Every command line on an operators' page must also appear in a script, letter
// for letter, so that the scripts run what the pages document.
func TestScriptsRunAllDocumentedCommands(t *testing.T) {
	f, err := filepath.Glob("testdata/doc_*.txtar")
	must.NoError(t, err)
	run := make(map[string]bool)
	for _, n := range f {
		b, err := os.ReadFile(n)
		must.NoError(t, err)
		for l := range strings.Lines(string(b)) {
			if i := strings.Index(l, "celeryreach "); i >= 0 {
				run[strings.TrimSpace(l[i:])] = true
			}
		}
	}
	for _, p := range operatorPages {
		b, err := os.ReadFile("../docs/operators/" + p + ".md")
		must.NoError(t, err)
		n := 0
		for l := range strings.Lines(string(b)) {
			if c, ok := strings.CutPrefix(l, "    celeryreach "); ok {
				c, _, _ = strings.Cut("celeryreach "+strings.TrimSpace(c), " > ")
				must.True(t, run[c], must.Sprintf("%s: no script runs %q", p, c))
				n++
			}
		}
		must.Positive(t, n)
	}
}
