package mirror_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/mirror"
	"celeryreach.example/celeryreach/row"
)

func hour() time.Duration { return time.Hour }

// A row is removed from the store, and OnChange reads the mirror's version. If
// the mirror held its lock during the call, it would deadlock: the host would
// receive no further changes and serve callers by an outdated configuration.
func TestChangedMayCallMirror(t *testing.T) {
	ctx, f := context.WithCancel(context.Background())
	notified := make(chan int, 2)
	m := &mirror.Mirror{
		Clock: clockwork.NewRealClock(), Log: log.New(io.Discard), Name: "Backends", LongPollTimeout: hour, ReplyTimeout: time.Minute,
		Read: func(context.Context) ([]row.Row, uint64, error) {
			return []row.Row{{Key: "a", Version: 1}, {Key: "b", Version: 1}}, 1, nil
		},
	}
	m.ReadChanges = func(ctx context.Context, after uint64, _ time.Duration) ([]row.Row, uint64, error) {
		if after == 1 {
			return []row.Row{{Key: "a"}}, 2, nil
		}
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	m.OnChange = func(r map[string]row.Row, incompleteUntil time.Time) {
		must.True(t, incompleteUntil.IsZero())
		must.Positive(t, m.Version())
		must.False(t, m.IsBehind(m.Version()))
		notified <- len(r)
	}
	d := make(chan error)
	go func() { d <- m.Run(ctx) }()
	must.EqOp(t, 2, <-notified)
	must.EqOp(t, 1, <-notified)
	f()
	must.NoError(t, <-d)
}

// One of two hosts lost the store and reads the full table again, so rows may be missing
// from its copy. The other host applies this copy. If this other host could reach the
// store all the time, a missing row was really removed, and the host must not send
// requests to a backend server that has ended. If it lost the store as well, it must also
// treat rows as possibly missing.
func TestIncompleteCopyOfAnotherHost(t *testing.T) {
	for _, unreachable := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) { testIncompleteCopyOfAnotherHost(t, unreachable) })
	}
}

func testIncompleteCopyOfAnotherHost(t *testing.T, unreachable bool) {
	k := clockwork.NewFakeClock()
	b, err := codec.Marshal(struct {
		Seen, Changed uint64
		Doubt         time.Duration
		Rows          []row.Row
	}{Seen: 2, Changed: 2, Doubt: time.Second, Rows: []row.Row{{Key: "a", Version: 1}}})
	must.NoError(t, err)
	var incompleteUntil time.Time
	m := &mirror.Mirror{
		Clock: k, Log: log.New(io.Discard), Name: "Backends", LongPollTimeout: hour, ReplyTimeout: time.Minute,
		OnChange: func(_ map[string]row.Row, d time.Time) { incompleteUntil = d },
		Read: func(context.Context) ([]row.Row, uint64, error) {
			return nil, 0, io.EOF
		},
	}
	ctx, f := context.WithCancel(context.Background())
	d := make(chan error, 1)
	if unreachable {
		go func() { d <- m.Run(ctx) }()
		synctest.Wait() // until the first read has failed
	}
	must.NoError(t, m.ApplyPeerCopy(b))
	must.EqOp(t, unreachable, incompleteUntil.Equal(k.Now().Add(time.Second)))
	must.EqOp(t, !unreachable, incompleteUntil.IsZero())
	f()
	if unreachable {
		must.NoError(t, <-d)
	}
}

// Another host announces a change. While the store is reachable, the store delivers the
// change, and the full table must not be transferred between regions. If the change does
// not arrive in time, the store has stopped responding, and the copy is needed at once:
// otherwise callers with a withdrawn key would be served until a timeout detects the
// failure.
func TestWantsCopyAfterTimeout(t *testing.T) { synctest.Test(t, testWantsCopyAfterTimeout) }

func testWantsCopyAfterTimeout(t *testing.T) {
	k := clockwork.NewFakeClock()
	m := &mirror.Mirror{
		Clock: k, Log: log.New(io.Discard), Name: "Config", LongPollTimeout: hour, ReplyTimeout: time.Minute, OnChange: func(map[string]row.Row, time.Time) {},
		Read: func(context.Context) ([]row.Row, uint64, error) { return []row.Row{{Key: "a", Version: 3}}, 9, nil },
	}
	must.True(t, m.NeedsPeerCopy(1)) // the mirror is still empty
	feeds := make(chan struct{}, 1)
	m.ReadChanges = func(ctx context.Context, _ uint64, _ time.Duration) ([]row.Row, uint64, error) {
		feeds <- struct{}{}
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	ctx, f := context.WithCancel(context.Background())
	d := make(chan error, 1)
	go func() { d <- m.Run(ctx) }()
	synctest.Wait() // until the delay after the first read
	k.Advance(time.Second)
	<-feeds
	must.EqOp(t, 3, m.Version())
	must.False(t, m.NeedsPeerCopy(9))
	must.False(t, m.NeedsPeerCopy(10))
	k.Advance(time.Second)
	must.True(t, m.NeedsPeerCopy(10))
	f()
	must.NoError(t, <-d)
}

// Hosts that start before anything was written must not read the store in a busy
// loop.
func TestEmptyStoreIsReadWithDelays(t *testing.T) {
	synctest.Test(t, testEmptyStoreIsReadWithDelays)
}

func testEmptyStoreIsReadWithDelays(t *testing.T) {
	reads := 0
	m := &mirror.Mirror{
		Clock: clockwork.NewFakeClock(), Log: log.New(io.Discard), Name: "Config", LongPollTimeout: hour, ReplyTimeout: time.Minute, OnChange: func(map[string]row.Row, time.Time) {},
		Read: func(ctx context.Context) ([]row.Row, uint64, error) {
			if reads++; reads > 1 {
				<-ctx.Done()
			}
			return nil, 0, ctx.Err()
		},
	}
	ctx, f := context.WithCancel(context.Background())
	d := make(chan error, 1)
	go func() { d <- m.Run(ctx) }()
	synctest.Wait()
	must.EqOp(t, 1, reads)
	f()
	must.NoError(t, <-d)
}
