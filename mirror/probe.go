package mirror

import (
	"context"

	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/deadline"
)

// callTimeoutFactor times ReplyTimeout is the timeout of one call. A slow store can
// still answer the call, while later calls in parallel show whether the call was lost
// in an outage.
const callTimeoutFactor = 4

var errCallTimeout = errors.New("store did not answer in time")

// probe makes calls that do not wait for a change, and returns the first result that
// is not errCallTimeout. If a call has no result after ReplyTimeout and a retry delay,
// the next call starts in parallel.
func (m *Mirror) probe(ctx context.Context) response {
	x, f := context.WithCancel(ctx)
	c := make(chan response)
	o := 0 // calls in flight
	defer func() {
		f()
		for ; o > 0; o-- {
			<-c
		}
	}()
	t := m.Clock.After(0)
	for p := minRetryDelay; ; {
		select {
		case <-ctx.Done():
			return response{err: ctx.Err()}
		case a := <-c:
			o--
			if !errors.Is(a.err, errCallTimeout) {
				return a
			}
		case <-t:
			if o > 0 {
				m.markUnreachable(errCallTimeout)
			}
			o++
			if m.CloseIdle != nil {
				m.CloseIdle()
			}
			go func() { c <- m.fetchNow(x) }()
			t = m.Clock.After(m.ReplyTimeout + p)
			p = min(2*p, maxRetryDelay)
		}
	}
}

// fetchNow makes one call that does not wait: for changes if the feed can continue
// from the copy, otherwise for the full table.
func (m *Mirror) fetchNow(ctx context.Context) response {
	m.mu.Lock()
	n := m.tableVersion
	a := response{fullTable: n == 0 || m.needsFullRead}
	m.mu.Unlock()
	x, f := deadline.With(ctx, m.Clock, callTimeoutFactor*m.ReplyTimeout)
	defer f()
	if a.fullTable {
		a.rows, a.version, a.err = m.Read(x)
	} else {
		a.rows, a.version, a.err = m.ReadChanges(x, n, 0)
	}
	if a.err != nil && deadline.Exceeded(x) {
		a.err = errCallTimeout
	}
	return a
}
