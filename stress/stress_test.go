package stress_test

import (
	"bytes"
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/stress"
)

// Callers leave in the middle of everything while backend servers die, the
// store goes out and hosts are killed: nobody is charged twice, nobody who was
// told "not run" is charged at all, and every answer is whole and its caller's
// own. The long run is "celeryreach stress -requests 100000".
func TestShortRun(t *testing.T) {
	var b bytes.Buffer
	s := &stress.Stress{
		Clock: clockwork.NewRealClock(), Log: log.New(io.Discard), Out: &b,
		Requests: 1500, Callers: 16, Seed: 7,
	}
	must.NoError(t, s.Run(t.Context()), must.Sprint(b.String()))
}
