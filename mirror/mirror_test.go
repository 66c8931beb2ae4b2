package mirror_test

import (
	"context"
	"io"
	"maps"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/freshness"
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
	m.OnChange = func(r map[string]row.Row) {
		must.True(t, m.IncompleteUntil().IsZero())
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

// A host that cannot reach the store applies the copy of another host, and then reaches it. If
// other hosts had answers meanwhile, a missing row was really removed, and the host must not send
// requests to a backend server that has ended, whatever the copy says. If none had, it must treat
// rows as possibly missing, from the first answer that any host had.
func TestIncompleteCopyOfAnotherHost(t *testing.T) {
	for _, outage := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) { testIncompleteCopyOfAnotherHost(t, outage) })
	}
}

func testIncompleteCopyOfAnotherHost(t *testing.T, outage bool) {
	const minOutage = 3 * time.Second
	b, err := codec.Marshal(struct {
		Seen, Changed uint64
		Doubt         time.Duration
		Rows          []row.Row
	}{Seen: 2, Changed: 2, Doubt: time.Second, Rows: []row.Row{{Key: "a", Version: 1}}})
	must.NoError(t, err)
	var reachable atomic.Bool
	until := make(chan time.Time, 2)
	h := &freshness.Freshness{Clock: clock, MinOutage: minOutage}
	m := &mirror.Mirror{
		Clock: clock, Log: log.New(io.Discard), Name: "Backends", LongPollTimeout: hour, ReplyTimeout: time.Minute,
		StoreFreshness: h, StoreTimeout: time.Hour, Read: func(context.Context) ([]row.Row, uint64, error) { return nil, 0, io.EOF },
	}
	m.ReadChanges = func(ctx context.Context, after uint64, _ time.Duration) ([]row.Row, uint64, error) {
		switch {
		case !reachable.Load():
			return nil, 0, io.EOF
		case after == 2:
			return []row.Row{{Key: "a"}}, 3, nil
		}
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	m.OnChange = func(map[string]row.Row) { until <- m.IncompleteUntil() }
	ctx, f := context.WithCancel(context.Background())
	d := make(chan error, 1)
	h.RecordRemoteAge(1)
	go func() { d <- m.Run(ctx) }()
	clock.Sleep(minOutage / 2)
	if !outage {
		h.RecordRemoteAge(1)
	}
	clock.Sleep(minOutage / 2)
	h.RecordRemoteAge(1)
	want := time.Time{}
	if outage {
		want = clock.Now().Add(2 * time.Second)
	}
	must.NoError(t, m.ApplyPeerCopy(b))
	must.True(t, want.Equal((<-until).Round(time.Microsecond)))
	clock.Sleep(100 * time.Millisecond)
	reachable.Store(true)
	must.True(t, want.Equal((<-until).Round(time.Microsecond)))
	f()
	must.NoError(t, <-d)
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
		Clock: k, Log: log.New(io.Discard), Name: "Config", LongPollTimeout: hour, ReplyTimeout: time.Minute, OnChange: func(map[string]row.Row) {},
		Read: func(context.Context) ([]row.Row, uint64, error) { return []row.Row{{Key: "a", Version: 3}}, 9, nil },
	}
	isDue := func(version uint64) bool {
		m.SetHostsVersion(version)
		d, behind := m.PeerCopyDelay()
		return behind && d == 0
	}
	must.True(t, isDue(1)) // the mirror is still empty
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
	must.False(t, isDue(9))
	must.False(t, isDue(10))
	k.Advance(time.Second)
	must.True(t, isDue(10))
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
		Clock: clockwork.NewFakeClock(), Log: log.New(io.Discard), Name: "Config", LongPollTimeout: hour, ReplyTimeout: time.Minute, OnChange: func(map[string]row.Row) {},
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

// copyOf returns a copy of a table with the given rows, which shows a version.
func copyOf(t *testing.T, version uint64, rows ...row.Row) *mirror.Mirror {
	t.Helper()
	b, err := codec.Marshal(struct {
		Seen, Changed uint64
		Rows          []row.Row
	}{Seen: version, Changed: version, Rows: rows})
	must.NoError(t, err)
	m := &mirror.Mirror{Clock: clock, Log: log.New(io.Discard), Name: "Backends"}
	m.OnChange = func(map[string]row.Row) {}
	must.NoError(t, m.ApplyPeerCopy(b))
	return m
}

// Guards against a host that takes only what changed since its version, and keeps rows that were
// removed or loses those that were not changed.
func TestChangesOfAnotherHostsCopy(t *testing.T) {
	x := []byte("x")
	a, b, c, d := row.Row{Key: "a", Value: x, Version: 1}, row.Row{Key: "b", Value: x, Version: 2}, row.Row{Key: "c", Value: x, Version: 3}, row.Row{Key: "d", Value: x, Version: 6}
	b2 := row.Row{Key: "b", Value: []byte("y"), Version: 5}
	m := copyOf(t, 3, a, b, c)
	var got map[string]row.Row
	m.OnChange = func(r map[string]row.Row) { got = maps.Clone(r) }
	_, w, err := copyOf(t, 6, a, b2, d).Content(m.ContentVersion())
	must.NoError(t, err)
	must.StrNotContains(t, string(w), `"Version":1}`) // the row that did not change
	must.NoError(t, m.ApplyPeerCopy(w))
	must.Eq(t, map[string]row.Row{"a": a, "b": b2, "d": d}, got)
	must.EqOp(t, 6, m.Version())

	// A row that neither changed nor is here: the next request asks for all rows.
	_, w, err = copyOf(t, 9, a, b2, c, d).Content(m.ContentVersion())
	must.NoError(t, err)
	must.ErrorContains(t, m.ApplyPeerCopy(w), `lack row "c"`)
	must.EqOp(t, 6, m.Version())
	must.EqOp(t, 0, m.ContentVersion())
	_, w, err = copyOf(t, 9, a, b2, c, d).Content(m.ContentVersion())
	must.NoError(t, err)
	must.NoError(t, m.ApplyPeerCopy(w))
	must.MapLen(t, 4, got)
}
