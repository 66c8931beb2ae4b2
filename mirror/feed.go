package mirror

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/deadline"
	"celeryreach.example/celeryreach/row"
)

const (
	// slack is how much later than Wait an answer of the feed may come. A
	// connection that has gone silent is found out by it.
	slack = 1500 * time.Millisecond
	// hintGrace is how long a change that another host has may take on a call that
	// waits: it reaches all hosts at once, and a slow store answers in half of that.
	hintGrace = 250 * time.Millisecond
)

// errDoubted says that a call which waits for a change was given up: it may have
// fallen silent.
var errDoubted = errors.New("the call that waits is in doubt")

// answer is what one call to the store brought.
type answer struct {
	rows    []row.Row
	version uint64
	whole   bool // rows are the whole table, not changes
	err     error
}

// step makes one call to the store, or several if the store is in doubt.
func (m *Mirror) step(ctx context.Context) error {
	a := m.ask(ctx)
	if errors.Is(a.err, ErrHistoryLost) {
		m.mu.Lock()
		m.reread = true
		m.Log.Info("history lost, reading all", "Table", m.Name, "Version", m.seen)
		m.mu.Unlock()
		a = m.ask(ctx)
	}
	if a.err != nil {
		return a.err
	}
	m.open()
	if a.whole {
		m.replace(a.rows, a.version, m.changedBy(a.rows, a.version), 0)
	} else {
		m.apply(a.rows, a.version)
	}
	return nil
}

// ask waits for the next change. While the store is in doubt it does not wait: an
// answer at once shows that the store is back, and what was missed.
func (m *Mirror) ask(ctx context.Context) answer {
	m.mu.Lock()
	d := m.failing || m.doubted || m.reread || m.seen == 0
	m.doubted = false
	n := m.seen
	m.mu.Unlock()
	if d {
		return m.probe(ctx)
	}
	w := m.Wait()
	x, f := deadline.With(ctx, m.Clock, w+slack)
	defer f()
	var a answer
	if m.Store == nil {
		a.rows, a.version, a.err = m.Feed(x, n, w)
	} else {
		a.rows, a.version, a.err = m.await(x, n, w)
	}
	return a
}

// await makes a call that waits, and gives it up when it is in doubt.
func (m *Mirror) await(ctx context.Context, after uint64, wait time.Duration) ([]row.Row, uint64, error) {
	h := make(chan struct{}, 1)
	m.mu.Lock()
	m.hints = h
	m.mu.Unlock()
	x, f := context.WithCancel(ctx)
	d := make(chan bool, 1)
	go m.watch(x, f, h, d)
	r, v, err := m.Feed(x, after, wait)
	f()
	if <-d && err != nil {
		m.mu.Lock()
		m.doubted = true
		m.mu.Unlock()
		return nil, 0, errDoubted
	}
	return r, v, err
}

// watch cancels a call that waits once that is in doubt. It reports whether it did.
func (m *Mirror) watch(ctx context.Context, cancel context.CancelFunc, hints <-chan struct{}, done chan<- bool) {
	c, ok := m.doubt(ctx, hints)
	if ok {
		m.Log.Info("store asked again", "Table", m.Name, "Cause", c, "StoreAge", time.Duration(m.Store.Age()))
		cancel()
	}
	done <- ok
}

// doubt waits until the store has answered nobody for Trust, or another host is known
// to have a change that the call has not brought, and says which. It reports false
// when ctx ends before.
func (m *Mirror) doubt(ctx context.Context, hints <-chan struct{}) (cause string, ok bool) {
	for {
		select {
		case <-ctx.Done():
			return "", false
		case <-hints:
			return "another host has a change", m.pause(ctx, hintGrace)
		case <-m.Clock.After(m.Store.Left(m.Trust)):
			if m.Store.Left(m.Trust) <= 0 {
				return "the store has answered no host", true
			}
		}
	}
}

// pause reports false when ctx ends before d has passed.
func (m *Mirror) pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-m.Clock.After(d):
		return true
	}
}
