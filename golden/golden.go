// Package golden plays the sessions of a package's testdata: each file is an
// archive whose last part is what the parts before it must give.
package golden

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/shoenig/test/must"
)

// Play compares the result of each session with its last part. With UPDATE set
// in the environment it writes the result there instead.
func Play(t *testing.T, play func(t *testing.T, parts [][]byte) string) {
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
