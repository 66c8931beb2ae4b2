package main_test

import (
	"fmt"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const (
	module = "celeryreach.example/celeryreach/"
	page   = "docs/layers.md"
	begin  = "<!-- layers -->\n"
)

// The page of layers is made from the imports: a package's row is one above the
// highest row that it imports, so that a page that agrees proves that imports
// only lead downward. UPDATE=1 go test -run TestLayers . writes it anew.
func TestLayers(t *testing.T) {
	b, err := os.ReadFile(page)
	must.NoError(t, err)
	head, _, ok := strings.Cut(string(b), begin)
	must.True(t, ok)
	w := head + begin + rows(imports(t))
	if os.Getenv("UPDATE") != "" {
		must.NoError(t, os.WriteFile(page, []byte(w), 0o600))
		return
	}
	must.EqOp(t, w, string(b))
}

// imports returns the packages of the module that each package imports.
func imports(t *testing.T) map[string]map[string]bool {
	f, err := filepath.Glob("*/*.go")
	must.NoError(t, err)
	r := make(map[string]map[string]bool)
	for _, n := range f {
		if strings.HasSuffix(n, "_test.go") {
			continue
		}
		d := filepath.Dir(n)
		if r[d] == nil {
			r[d] = make(map[string]bool)
		}
		p, err := parser.ParseFile(token.NewFileSet(), n, nil, parser.ImportsOnly)
		must.NoError(t, err)
		for _, i := range p.Imports {
			v, err := strconv.Unquote(i.Path.Value)
			must.NoError(t, err)
			if v, ok := strings.CutPrefix(v, module); ok {
				r[d][v] = true
			}
		}
	}
	return r
}

func rows(m map[string]map[string]bool) string {
	l := make(map[int][]string)
	h := 0
	for p := range m {
		n := row(m, p)
		l[n] = append(l[n], p)
		h = max(h, n)
	}
	var b strings.Builder
	b.WriteString("| layer | packages |\n|---|---|\n")
	for n := h; n >= 0; n-- {
		sort.Strings(l[n])
		fmt.Fprintf(&b, "| %d | %s |\n", n, strings.Join(l[n], " "))
	}
	return b.String()
}

func row(m map[string]map[string]bool, p string) int {
	n := 0
	for i := range m[p] {
		n = max(n, 1+row(m, i))
	}
	return n
}
