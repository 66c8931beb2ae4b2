package edge

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/member"
)

// Guards against a host that waits for a silent store at the end of its shutdown until it is
// killed.
func TestSilentStoreDoesNotDelayEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clockwork.NewRealClock()
		silent := func(ctx context.Context, _ member.Member) error {
			<-ctx.Done()
			return ctx.Err()
		}
		e := &Edge{Clock: c, Log: log.New(io.Discard), Announce: silent, Withdraw: silent}
		e.shutdown.Clock = c
		x, f := context.WithCancel(t.Context())
		e.shutdown.Begin(5500 * time.Millisecond)
		c.AfterFunc(5450*time.Millisecond, f) // the last caller has its answer
		must.NoError(t, e.announce(x))
		must.Less(t, 50*time.Millisecond, c.Since(e.StopBy()))
	})
}
