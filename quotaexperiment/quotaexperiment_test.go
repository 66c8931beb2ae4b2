package quotaexperiment_test

import (
	"bytes"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/quotaexperiment"
)

// TestTargets runs the short form of the experiment. Each line of the data file
// names a bound that the resulting table must keep: no request above the limits
// of an account, few wrongful refusals, and no account far below what it is
// due.
func TestTargets(t *testing.T) {
	var b bytes.Buffer
	e := &quotaexperiment.Quotaexperiment{
		Out: &b, Seed: 1, Short: true, Methods: []string{"divisions"}, Scenarios: []string{"ordinary", "one-at-5x", "host-lost", "store-out-10m"},
	}
	must.NoError(t, e.Run())
	rows := table(b.String())
	d, err := os.ReadFile("testdata/targets.txt")
	must.NoError(t, err)
	for l := range strings.Lines(string(d)) {
		f := strings.Fields(l)
		if len(f) == 0 || f[0] == "#" {
			continue
		}
		for _, u := range []string{"Association", "Collective"} {
			v, ok := rows[u+" "+f[0]][f[1]]
			must.True(t, ok, must.Sprint(u, l))
			w, err := strconv.ParseFloat(f[3], 64)
			must.NoError(t, err)
			if f[2] == "<=" {
				must.LessEq(t, w, v, must.Sprint(u, l))
			} else {
				must.GreaterEq(t, w, v, must.Sprint(u, l))
			}
		}
	}
}

// table parses the printed table by user and scenario, then by column.
func table(s string) map[string]map[string]float64 {
	r := make(map[string]map[string]float64)
	l := strings.Split(strings.TrimSpace(s), "\n")
	h := strings.Fields(l[0])
	for _, v := range l[1:] {
		f := strings.Fields(v)
		m := make(map[string]float64)
		for i := 3; i < len(f); i++ {
			m[h[i]], _ = strconv.ParseFloat(strings.TrimSuffix(f[i], "%"), 64)
		}
		r[f[0]+" "+f[1]] = m
	}
	return r
}
