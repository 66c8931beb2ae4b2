package host

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// The table in docs/metrics.md lists exactly the metrics that the code
// publishes: a counter for each outcome and for each reason to close a connection
// without a response, and the gauges and counters of this package and of package edge.
func TestMetricsAreDocumented(t *testing.T) {
	b, err := os.ReadFile("../docs/metrics.md")
	must.NoError(t, err)
	var told []string
	for _, m := range regexp.MustCompile("(?m)^\\| `([A-Za-z.]+)` \\|").FindAllStringSubmatch(string(b), -1) {
		told = append(told, m[1])
	}
	sort.Strings(told)
	var used []string
	for n, v := range constants(t, "../outcome/outcome.go") {
		if !strings.HasPrefix(n, "Ran") {
			used = append(used, "Requests."+v)
		}
	}
	for n, v := range constants(t, "../httplisten/unanswered.go") {
		if strings.HasPrefix(n, "reason") {
			used = append(used, "Unanswered."+v)
		}
	}
	for _, f := range []string{"metrics.go", "../edge/metrics.go"} {
		for n, v := range constants(t, f) {
			if strings.HasPrefix(n, "gauge") || strings.HasPrefix(n, "counter") {
				used = append(used, v)
			}
		}
	}
	sort.Strings(used)
	must.Eq(t, used, told)
}

// constants returns the string constants of a file by name.
func constants(t *testing.T, file string) map[string]string {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	must.NoError(t, err)
	r := make(map[string]string)
	ast.Inspect(f, func(n ast.Node) bool {
		v, ok := n.(*ast.ValueSpec)
		if !ok || len(v.Values) != 1 {
			return true
		}
		if l, ok := v.Values[0].(*ast.BasicLit); ok && l.Kind == token.STRING {
			s, err := strconv.Unquote(l.Value)
			must.NoError(t, err)
			r[v.Names[0].Name] = s
		}
		return true
	})
	return r
}
