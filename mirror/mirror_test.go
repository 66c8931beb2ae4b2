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

// A backend server's entry goes from the store, and whoever is told of the
// change asks the copy how new it is. The copy must answer then: when it waited for its own lock, the host learned of no change any
// more, and callers were sent by a configuration that had long been replaced.
func TestTheToldMayAsk(t *testing.T) {
	ctx, f := context.WithCancel(context.Background())
	told := make(chan int, 2)
	m := &mirror.Mirror{
		Clock: clockwork.NewRealClock(), Log: log.New(io.Discard), Name: "Backends", Wait: hour, Reply: time.Minute,
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
	m.Changed = func(r map[string]row.Row, doubt time.Time) {
		must.True(t, doubt.IsZero())
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

// Two hosts: one was cut off and reads the list anew, so it has missing entries in
// doubt; the other one had the store all the while and takes the newer copy from
// it. A backend server that left is gone for the second host at once: its requests
// would reach it after it has ended. A host that is cut off itself shares the doubt.
func TestDoubtOfOthers(t *testing.T) {
	for _, cut := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) { testDoubtOfOthers(t, cut) })
	}
}

func testDoubtOfOthers(t *testing.T, cut bool) {
	k := clockwork.NewFakeClock()
	b, err := codec.Marshal(struct {
		Seen, Changed uint64
		Doubt         time.Duration
		Rows          []row.Row
	}{Seen: 2, Changed: 2, Doubt: time.Second, Rows: []row.Row{{Key: "a", Version: 1}}})
	must.NoError(t, err)
	var doubt time.Time
	m := &mirror.Mirror{
		Clock: k, Log: log.New(io.Discard), Name: "Backends", Wait: hour, Reply: time.Minute,
		Changed: func(_ map[string]row.Row, d time.Time) { doubt = d },
		Read: func(context.Context) ([]row.Row, uint64, error) {
			return nil, 0, io.EOF
		},
	}
	ctx, f := context.WithCancel(context.Background())
	d := make(chan error, 1)
	if cut {
		go func() { d <- m.Run(ctx) }()
		synctest.Wait() // until the read has failed
	}
	must.NoError(t, m.Adopt(b))
	must.EqOp(t, cut, doubt.Equal(k.Now().Add(time.Second)))
	must.EqOp(t, !cut, doubt.IsZero())
	f()
	if cut {
		must.NoError(t, <-d)
	}
}

// Another host tells of a change. While the own way to the store is open, the
// change comes by it, and no copy of the whole table crosses regions for it. When
// it does not come, the way has fallen silent, and callers whose key was taken
// away must not be served until a timeout shows it.
func TestWantsACopyInTimeOnly(t *testing.T) { synctest.Test(t, testWantsACopyInTimeOnly) }

func testWantsACopyInTimeOnly(t *testing.T) {
	k := clockwork.NewFakeClock()
	m := &mirror.Mirror{
		Clock: k, Log: log.New(io.Discard), Name: "Config", Wait: hour, Reply: time.Minute, Changed: func(map[string]row.Row, time.Time) {},
		Read: func(context.Context) ([]row.Row, uint64, error) { return []row.Row{{Key: "a", Version: 3}}, 9, nil },
	}
	must.True(t, m.Wants(1)) // it knows nothing yet
	feeds := make(chan struct{}, 1)
	m.Feed = func(ctx context.Context, _ uint64, _ time.Duration) ([]row.Row, uint64, error) {
		feeds <- struct{}{}
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	ctx, f := context.WithCancel(context.Background())
	d := make(chan error, 1)
	go func() { d <- m.Run(ctx) }()
	synctest.Wait() // until the pause after the first read
	k.Advance(time.Second)
	<-feeds
	must.EqOp(t, 3, m.Version())
	must.False(t, m.Wants(9))
	must.False(t, m.Wants(10))
	k.Advance(time.Second)
	must.True(t, m.Wants(10))
	f()
	must.NoError(t, <-d)
}

// Hosts that start before anything was written read the store without a pause.
func TestAnEmptyStoreIsReadWithPauses(t *testing.T) {
	synctest.Test(t, testAnEmptyStoreIsReadWithPauses)
}

func testAnEmptyStoreIsReadWithPauses(t *testing.T) {
	reads := 0
	m := &mirror.Mirror{
		Clock: clockwork.NewFakeClock(), Log: log.New(io.Discard), Name: "Config", Wait: hour, Reply: time.Minute, Changed: func(map[string]row.Row, time.Time) {},
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
