package settings_test

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/settings"
)

// Each file holds a settings file and all lines that are reported for it.
func TestMistakes(t *testing.T) {
	f, err := filepath.Glob("testdata/*.txtar")
	must.NoError(t, err)
	must.Positive(t, len(f))
	for _, n := range f {
		t.Run(filepath.Base(n), func(t *testing.T) {
			a, err := txtar.ParseFile(n)
			must.NoError(t, err)
			_, m, err := settings.Parse(a.Files[0].Data)
			var b strings.Builder
			if err != nil {
				b.WriteString(err.Error() + "\n")
			}
			for _, v := range m {
				b.WriteString(v.String() + "\n")
			}
			must.Eq(t, string(a.Files[1].Data), b.String())
		})
	}
}

func TestExample(t *testing.T) {
	s, m, err := settings.Load("../examples/host.hujson")
	must.NoError(t, err)
	must.SliceEmpty(t, m)
	d := settings.Default()
	must.Eq(t, d.Hold, s.Hold)
	must.Eq(t, d.Heartbeat, s.Heartbeat)
	must.Eq(t, d.DrainTimeout, s.DrainTimeout)
	must.NotNil(t, s.PeerTLS)
}
