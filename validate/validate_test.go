package validate_test

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/validate"
)

// Each file holds a configuration and every mistake that it has. An operator
// who sends it sees all of them at once, each with its field.
func TestConfig(t *testing.T) {
	f, err := filepath.Glob("testdata/*.txtar")
	must.NoError(t, err)
	must.SliceNotEmpty(t, f)
	for _, n := range f {
		t.Run(filepath.Base(n), func(t *testing.T) {
			a, err := txtar.ParseFile(n)
			must.NoError(t, err)
			var c config.Config
			must.NoError(t, codec.Unmarshal(a.Files[0].Data, &c))
			w := strings.TrimSpace(string(a.Files[1].Data))
			must.EqOp(t, w, strings.Join(validate.Config(&c), "\n"))
		})
	}
}
