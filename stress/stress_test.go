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

// Callers cancel requests while backend servers fail, the store is unavailable
// and hosts are killed. No non-idempotent request may run twice, no request
// reported as "not run" may have run, and every response must be complete and
// belong to its request. The command
// "celeryreach stress -requests 100000" runs a longer version.
func TestShortRun(t *testing.T) {
	var b bytes.Buffer
	s := &stress.Stress{
		Clock: clockwork.NewRealClock(), Log: log.New(io.Discard), Out: &b,
		Requests: 1500, Callers: 16, Seed: 7,
	}
	must.NoError(t, s.Run(t.Context()), must.Sprint(b.String()))
}
