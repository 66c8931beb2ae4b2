package demo_test

import (
	"bytes"
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"celeryreach.example/celeryreach/demo"
)

// The demo ends while callers cancel requests, receive responses and are refused.
// Every request must have an outcome, and no goroutine may keep running. The demo
// runs complete hosts, so a leak in the demo would also be a leak in a host.
func TestDemoEndsWithNothingLost(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx, c := context.WithTimeout(context.Background(), 4*time.Second)
	defer c()
	var b bytes.Buffer
	d := &demo.Demo{Clock: clockwork.NewRealClock(), Log: log.New(io.Discard), Out: &b}
	must.NoError(t, d.Run(ctx))
	must.StrContains(t, b.String(), "lost               0\n")
	must.StrContains(t, b.String(), "refused (not run)")
}
