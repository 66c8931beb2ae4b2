// Package golden runs golden-file tests: the last file of each txtar archive in
// testdata holds the expected output for the files before it.
package golden

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/shoenig/test/must"
)

// Run calls play with the input files of each archive and compares the result
// with the expected output. With UPDATE set in the environment it rewrites the
// expected output instead.
func Run(t *testing.T, play func(t *testing.T, parts [][]byte) string) {
	t.Helper()
	f, err := filepath.Glob("testdata/*.txtar")
	must.NoError(t, err)
	must.SliceNotEmpty(t, f)
	for _, n := range f {
		t.Run(filepath.Base(n), func(t *testing.T) {
			a, err := txtar.ParseFile(n)
			must.NoError(t, err)
			l := &a.Files[len(a.Files)-1]
			var p [][]byte
			for _, v := range a.Files {
				p = append(p, v.Data)
			}
			r := play(t, p[:len(p)-1])
			if os.Getenv("UPDATE") == "" {
				must.EqOp(t, string(l.Data), r)
				return
			}
			l.Data = []byte(r)
			must.NoError(t, os.WriteFile(n, txtar.Format(a), 0o600))
		})
	}
}
