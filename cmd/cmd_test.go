package cmd_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/rogpeppe/go-internal/txtar"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/cmd"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/document"
)

func run(args ...string) (out, err string, code int) {
	var o, e bytes.Buffer
	m := &cmd.Cmd{Out: &o, Err: &e, Getenv: func(string) string { return "" }, Clock: clockwork.NewRealClock()}
	code = m.Run(context.Background(), append([]string{"celeryreach"}, args...))
	return o.String(), e.String(), code
}

// The example configurations are valid and have the sizes of the two users'
// deployments.
func TestExampleConfigs(t *testing.T) {
	for _, v := range []struct {
		file     string
		backends []int
		links    int64
	}{
		{"association", []int{14, 12, 8, 6}, 500_000_000},
		{"collective", []int{12, 12, 6, 6}, 35_000_000},
	} {
		f := "../examples/" + v.file + ".hujson"
		o, e, c := run("config", "check", f)
		must.Eq(t, 0, c, must.Sprint(o, e))
		must.StrContains(t, o, "no mistakes")
		b, err := os.ReadFile(f)
		must.NoError(t, err)
		d, err := document.Parse(b)
		must.NoError(t, err)
		var x config.Config
		must.SliceEmpty(t, d.Decode(&x))
		must.Len(t, 3, x.Regions)
		must.Len(t, 6, x.Domains)
		must.Len(t, 8, x.Accounts)
		must.Len(t, 6, x.Links)
		n := make(map[string]int)
		for _, y := range x.Backends {
			n[y.Service]++
			must.Between(t, 3, y.Slots, 6)
		}
		for i, s := range x.Services {
			must.Eq(t, v.backends[i], n[s.Name])
		}
		for _, l := range x.Links {
			must.Eq(t, v.links, l.BytesPerSecond)
		}
	}
	o, e, c := run("serve", "-check", "-settings", "../examples/host.hujson")
	must.Eq(t, 0, c, must.Sprint(o, e))
}

// Each script holds a command line, its files, and the expected output with the
// exit code. UPDATE=1 rewrites the outputs.
func TestCommandOutput(t *testing.T) {
	f, err := filepath.Glob("testdata/*.txtar")
	must.NoError(t, err)
	must.Positive(t, len(f))
	for _, n := range f {
		t.Run(filepath.Base(n), func(t *testing.T) {
			a, err := txtar.ParseFile(n)
			must.NoError(t, err)
			d := t.TempDir()
			var w *txtar.File
			for i := range a.Files {
				if a.Files[i].Name == "output" {
					w = &a.Files[i]
					continue
				}
				must.NoError(t, os.WriteFile(filepath.Join(d, a.Files[i].Name), a.Files[i].Data, 0o600))
			}
			l := strings.Split(strings.TrimSpace(string(a.Comment)), "\n")
			args := strings.Fields(strings.ReplaceAll(l[len(l)-1], "DIR", d))
			o, e, c := run(args...)
			g := strings.ReplaceAll(o+e, d+"/", "") + "exit code " + string(rune('0'+c)) + "\n"
			if os.Getenv("UPDATE") != "" {
				w.Data = []byte(g)
				must.NoError(t, os.WriteFile(n, txtar.Format(a), 0o600))
			}
			must.Eq(t, string(w.Data), g)
		})
	}
}
