package mirror_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/mirror"
	"celeryreach.example/celeryreach/row"
)

// A backend server's entry goes from the store, and whoever is told of the
// change asks the copy how new it is. The copy must answer then: when it waited for its own lock, the host learned of no change any
// more, and callers were sent by a configuration that had long been replaced.
func TestTheToldMayAsk(t *testing.T) {
	ctx, f := context.WithCancel(context.Background())
	told := make(chan int, 2)
	m := &mirror.Mirror{
		Clock: clockwork.NewRealClock(), Log: log.New(io.Discard), Name: "Backends", Wait: time.Hour,
		Read: func(context.Context) ([]row.Row, uint64, error) {
			return []row.Row{{Key: "a", Version: 1}, {Key: "b", Version: 1}}, 1, nil
		},
	}
	m.Feed = func(ctx context.Context, after uint64, _ time.Duration) ([]row.Row, uint64, error) {
		if after == 1 {
			return []row.Row{{Key: "a"}}, 2, nil
		}
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	m.Changed = func(r map[string]row.Row, doubt bool) {
		must.False(t, doubt)
		must.Positive(t, m.Version())
		must.False(t, m.Behind(m.Version()))
		told <- len(r)
	}
	d := make(chan error)
	go func() { d <- m.Run(ctx) }()
	must.EqOp(t, 2, <-told)
	must.EqOp(t, 1, <-told)
	f()
	must.NoError(t, <-d)
}
