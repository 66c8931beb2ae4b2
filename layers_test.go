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
	module      = "celeryreach.example/celeryreach/"
	layersPage  = "docs/layers.md"
	tableMarker = "<!-- layers -->\n"
)

// The table of layers in docs/layers.md must match the imports. A package's layer is
// one above the highest layer among the packages that it imports, so every import
// leads to a lower layer. Run UPDATE=1 go test -run TestLayers . to regenerate the
// table.
func TestLayers(t *testing.T) {
	b, err := os.ReadFile(layersPage)
	must.NoError(t, err)
	head, _, ok := strings.Cut(string(b), tableMarker)
	must.True(t, ok)
	w := head + tableMarker + layerTable(imports(t))
	if os.Getenv("UPDATE") != "" {
		must.NoError(t, os.WriteFile(layersPage, []byte(w), 0o600))
		return
	}
	must.EqOp(t, w, string(b))
}

// imports returns, for each package, the packages of this module that its non-test
// files import.
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

// layerTable returns the Markdown table of layers, highest first.
func layerTable(m map[string]map[string]bool) string {
	l := make(map[int][]string)
	h := 0
	for p := range m {
		n := layerOf(m, p)
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

// layerOf returns the layer of package p, zero if it imports no package of this module.
func layerOf(m map[string]map[string]bool, p string) int {
	n := 0
	for i := range m[p] {
		n = max(n, 1+layerOf(m, i))
	}
	return n
}
