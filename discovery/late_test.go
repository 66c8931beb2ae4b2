package discovery_test

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/discovery"
)

// Guards against a report that the store performs late, after the one by which a backend server
// leaves.
func TestLateReportDoesNotReplaceNewerOne(t *testing.T) {
	k := clockwork.NewFakeClock()
	var u []backend.Backend
	d := &discovery.Discovery{
		Clock: k, Log: log.New(io.Discard), WarmUp: func(string) time.Duration { return 0 }, UncertainUntil: k.Now,
		OnChange: func(l []backend.Backend, _ func(string) time.Time) { u = l },
	}
	b := backend.Backend{Name: "b", Address: "b:1", Started: 7, Revision: 1, Sequence: 3}
	report := func(after time.Duration, change func()) {
		k.Advance(after)
		b.Revision++
		change()
		d.SetBackends([]backend.Backend{b})
	}
	report(0, func() {})
	must.Len(t, 1, u)
	report(0, func() { b.Sequence, b.Draining = 5, true })
	must.Len(t, 0, u)
	report(5*time.Second, func() { b.Sequence, b.Draining = 4, false })
	must.Len(t, 0, u)
	report(time.Minute, func() { b.Address = "b:2" }) // of another writer, or counted anew
	must.Len(t, 0, u)
	report(time.Second, func() { b.Started, b.Sequence, b.Draining = 8, 1, false })
	must.Len(t, 1, u)
	report(time.Second, func() { b.Sequence, b.Address = 0, "b:3" })
	must.EqOp(t, "b:2", u[0].Address)
	report(time.Minute, func() {})
	must.EqOp(t, "b:3", u[0].Address)
}
