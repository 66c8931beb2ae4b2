package explain_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/explain"
)

// Each file contains the logs of several hosts and the expected explanation: the state
// of each host when the request arrived, and the host's decisions. The last line of the
// file's comment is the id of the failed request. UPDATE=1 rewrites the explanation.
func TestExplain(t *testing.T) {
	l, err := filepath.Glob("testdata/*.txtar")
	must.NoError(t, err)
	must.SliceNotEmpty(t, l)
	for _, f := range l {
		t.Run(filepath.Base(f), func(t *testing.T) {
			a, err := txtar.ParseFile(f)
			must.NoError(t, err)
			c := strings.Split(strings.TrimSpace(string(a.Comment)), "\n")
			e := &explain.Explain{Request: strings.TrimPrefix(c[len(c)-1], "request: ")}
			n := len(a.Files) - 1
			for _, x := range a.Files[:n] {
				must.NoError(t, e.Read(x.Name, bytes.NewReader(x.Data)))
			}
			var b bytes.Buffer
			must.NoError(t, e.Write(&b))
			if os.Getenv("UPDATE") != "" {
				a.Files[n].Data = b.Bytes()
				must.NoError(t, os.WriteFile(f, txtar.Format(a), 0o600))
				return
			}
			must.EqOp(t, string(a.Files[n].Data), b.String())
		})
	}
}
