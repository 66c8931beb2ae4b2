package mirror

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/deadline"
	"celeryreach.example/celeryreach/row"
)

const (
	// feedTimeoutMargin is how much longer than LongPollTimeout a ReadChanges call may take
	// before it times out. The timeout detects connections that no longer respond.
	feedTimeoutMargin = 1500 * time.Millisecond
	// updateHintDelay is how long a long poll may still take to return a change
	// that a peer already has, before the store is called again and the copy of a peer
	// is fetched. The store sends a change to all hosts at the same time, and a slow
	// store answers within half of this delay.
	updateHintDelay = 250 * time.Millisecond
	// firstAnswerDelay is the same for a long poll that started after a peer had the
	// change. A slow store has not had the call for as long.
	firstAnswerDelay = 500 * time.Millisecond
)

// errWaitAborted is returned for a long poll that was aborted because the store may
// have stopped answering it.
var errWaitAborted = errors.New("long poll aborted: store may have stopped answering")

// response is the result of one call to the store.
type response struct {
	rows      []row.Row
	version   uint64
	fullTable bool // rows are the full table rather than changes
	err       error
}

// syncOnce fetches the next changes or the full table and applies them. It makes
// several calls if the store may be unreachable.
func (m *Mirror) syncOnce(ctx context.Context) error {
	a := m.fetchNext(ctx)
	if errors.Is(a.err, ErrHistoryLost) {
		m.mu.Lock()
		m.needsFullRead = true
		m.Log.Info("history lost, reading all", "Table", m.Name, "Version", m.tableVersion)
		m.mu.Unlock()
		a = m.fetchNext(ctx)
	}
	if a.err != nil {
		return a.err
	}
	m.markReachable()
	if a.fullTable {
		m.replace(sourceStore, a.rows, a.version, m.lastChangeIn(a.rows, a.version))
	} else {
		m.apply(a.rows, a.version)
	}
	if m.OnAnswer != nil {
		m.OnAnswer()
	}
	return nil
}

// fetchNext waits for the next change. It does not wait if the store may be
// unreachable: an immediate response shows that the store is reachable again, and
// contains the missed changes.
func (m *Mirror) fetchNext(ctx context.Context) response {
	m.mu.Lock()
	d := m.unreachable || m.waitAborted || m.needsFullRead || m.tableVersion == 0
	m.waitAborted = false
	n := m.tableVersion
	m.mu.Unlock()
	if d {
		return m.probe(ctx)
	}
	w := m.LongPollTimeout()
	x, f := deadline.With(ctx, m.Clock, w+feedTimeoutMargin)
	defer f()
	var a response
	if m.StoreFreshness == nil {
		a.rows, a.version, a.err = m.ReadChanges(x, n, w)
	} else {
		a.rows, a.version, a.err = m.longPoll(x, n, w)
	}
	return a
}

// longPoll makes a ReadChanges call that waits for changes, and aborts it when it is
// suspected of being lost.
func (m *Mirror) longPoll(ctx context.Context, after uint64, wait time.Duration) ([]row.Row, uint64, error) {
	h := make(chan time.Duration, 1)
	m.mu.Lock()
	m.updateHints = h
	if !m.behindSince.IsZero() {
		h <- firstAnswerDelay
	}
	m.mu.Unlock()
	x, f := context.WithCancel(ctx)
	d := make(chan bool, 1)
	go m.watchLongPoll(x, f, h, d)
	r, v, err := m.ReadChanges(x, after, wait)
	f()
	b := <-d && err != nil
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updateHints = nil
	if b {
		m.waitAborted = true
		return nil, 0, errWaitAborted
	}
	return r, v, err
}

// watchLongPoll cancels a long poll once awaitAbortCause returns a cause. Then it
// sends true on done, or false if ctx ended first.
func (m *Mirror) watchLongPoll(ctx context.Context, cancel context.CancelFunc, hints <-chan time.Duration, done chan<- bool) {
	c, ok := m.awaitAbortCause(ctx, hints)
	if ok {
		m.Log.Info("store asked again", "Table", m.Name, "Cause", c, "StoreAge", time.Duration(m.StoreFreshness.Age()))
		cancel()
	}
	done <- ok
}

// awaitAbortCause blocks until a long poll must be aborted and returns the cause: the
// store has answered no host for StoreTimeout, or another host has a change that the
// long poll has not returned. It returns false if ctx ends first.
func (m *Mirror) awaitAbortCause(ctx context.Context, hints <-chan time.Duration) (cause string, ok bool) {
	for {
		select {
		case <-ctx.Done():
			return "", false
		case d := <-hints:
			return "another host has a change", m.sleep(ctx, d)
		case <-m.Clock.After(m.StoreFreshness.Remaining(m.StoreTimeout)):
			if m.StoreFreshness.Remaining(m.StoreTimeout) <= 0 {
				return "the store has answered no host", true
			}
		}
	}
}

// sleep waits for d and returns false if ctx ends first.
func (m *Mirror) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-m.Clock.After(d):
		return true
	}
}
