package difference

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/writtenform"
)

func TestWritten(t *testing.T) {
	writtenform.Check(t, "difference", new(Difference))
}

// number matches the start of a number or a duration.
var number = regexp.MustCompile(`(: "?)(\d)`)

// TestPaths guards against changes of the paths of configuration fields, which
// are part of the output that scripts read. It compares two configurations that
// have the same entries and differ in every field that does not identify an
// entry.
func TestPaths(t *testing.T) {
	b, err := os.ReadFile(filepath.Join("..", "config", "testdata", "forms", "config.json"))
	must.NoError(t, err)
	l := strings.Split(string(b), "\n")
	for i, s := range l {
		if i > 0 && strings.TrimSpace(l[i-1]) == "{" || strings.Contains(s, `"To":`) {
			continue // the first field identifies the entry, as does To
		}
		l[i] = number.ReplaceAllString(strings.NewReplacer("text ", "other ", "true", "false").Replace(s), "${1}7$2")
	}
	var x, y config.Config
	must.NoError(t, codec.Unmarshal(b, &x))
	must.NoError(t, codec.Unmarshal([]byte(strings.Join(l, "\n")), &y))
	var r strings.Builder
	for _, d := range Between(&x, &y) {
		r.WriteString(d.Path + "\n")
	}
	p := filepath.Join("testdata", "forms", "paths.txt")
	if os.Getenv("UPDATE") != "" {
		must.NoError(t, os.WriteFile(p, []byte(r.String()), 0o600))
	}
	w, err := os.ReadFile(p)
	must.NoError(t, err)
	must.EqOp(t, string(w), r.String())
}
