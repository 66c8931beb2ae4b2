// Package mirror holds a copy of one table of the store. It follows the store's
// feed of changes, and takes the copy of another host when its own way to the
// store is blocked.
package mirror

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/freshness"
	"celeryreach.example/celeryreach/row"
)

const (
	// firstPause and lastPause space the tries while the store is away. Each
	// call costs the store something, also one that it refuses.
	firstPause = 150 * time.Millisecond
	lastPause  = 600 * time.Millisecond
	// gatherFor is the pause after a change, a fifth of the time in which a
	// change must be in force. Changes
	// come in series, and one call then brings several.
	gatherFor = 500 * time.Millisecond
	// ownWay is how long a change that others have may take on the own way: the
	// pause after the change before, and the way from the farthest region.
	ownWay = 950 * time.Millisecond
	// doubtFor is how long after the store's return rows may be missing: those
	// that lapsed in the outage are back within two seconds.
	doubtFor = 2 * time.Second
)

// ErrHistoryLost says that the feed no longer knows what changed since the
// version that was asked for.
var ErrHistoryLost = errors.New("the store has dropped its history")

// Mirror is the copy.
type Mirror struct {
	// Clock measures timeouts.
	Clock clockwork.Clock
	// Log receives one line for each change of the way to the store.
	Log *log.Logger
	// Name identifies the copy among hosts and in logs.
	Name string
	// Read returns all rows, and the version of the store that they show.
	Read func(ctx context.Context) ([]row.Row, uint64, error)
	// Feed returns the rows that changed after a version, with Version zero
	// those that are gone, and the version up to which it looked. It waits for
	// the first change, but no longer than wait. ErrHistoryLost asks for Read.
	Feed func(ctx context.Context, after uint64, wait time.Duration) ([]row.Row, uint64, error)
	// Renew closes the connections to the store that are kept and not in use: when a
	// call falls silent, they may have too. Nil keeps them.
	Renew func()
	// Wait returns the longest wait of one call of Feed.
	Wait func() time.Duration
	// Reply is how long a call that does not wait, or a read of the whole table, may
	// take before the next one is made beside it.
	Reply time.Duration
	// Store tells when the store last answered any host that follows this table. A
	// call that waits may have fallen silent with the store, and nothing but time
	// shows it; a store that has answered nobody for Trust is asked again at once.
	// Answers on another table prove nothing: after a short silence those calls may
	// be sound and all of these silent. Nil waits all the same.
	Store *freshness.Freshness
	Trust time.Duration
	// Changed is told the rows, by key, after each change. The store may have
	// been away until just now; then rows may be missing that are back before
	// doubt ends. It must not keep the map, and may ask the mirror.
	Changed func(rows map[string]row.Row, doubt time.Time)

	// telling keeps the calls of Changed in order. It is apart from mu: who is
	// told asks for what mu guards.
	telling sync.Mutex

	mu       sync.Mutex
	rows     map[string]row.Row
	seen     uint64    // the copy shows the table as of this version
	changed  uint64    // the last change in the copy
	lagging  time.Time // since when another host is known to have more
	failing  bool
	doubted  bool      // the call that waited was given up
	reread   bool      // the feed can't go on from the copy
	doubtful time.Time // until when rows may be missing
	hints    chan struct{}
}

// content is a copy on its way to another host.
type content struct {
	Seen    uint64
	Changed uint64
	Doubt   time.Duration // for how much longer rows may be missing
	Rows    []row.Row
}

// Run follows the store until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	p := firstPause
	for ctx.Err() == nil {
		v := m.Version()
		err := m.step(ctx)
		if ctx.Err() != nil {
			return nil
		}
		d := m.gather(v)
		switch {
		case errors.Is(err, errDoubted):
			d = 0
		case err != nil:
			m.fail(err)
			d, p = p, min(2*p, lastPause)
		default:
			p = firstPause
		}
		select {
		case <-ctx.Done():
		case <-m.Clock.After(d):
		}
	}
	return nil
}

// gather is the pause before the next call: changes come in series, and one call
// then brings several. A store in which nothing was ever written has no version from
// which a call could wait.
func (m *Mirror) gather(before uint64) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.changed != before:
		return gatherFor
	case m.seen == 0:
		return firstPause
	}
	return 0
}

// Version returns the last change in the copy, zero before the first.
func (m *Mirror) Version() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Behind reports whether another host's copy has a change that this one may
// lack.
func (m *Mirror) Behind(version uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return version > m.seen
}

// Wants reports whether to take another host's copy. While the own way to the
// store seems open, the change is about to come by it, and a copy of the whole
// table would only cost bytes; if it has not come in time, the way has fallen
// silent and nothing has shown it yet.
func (m *Mirror) Wants(version uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if version <= m.seen {
		m.lagging = time.Time{}
		return false
	}
	n := m.Clock.Now()
	if m.lagging.IsZero() {
		m.lagging = n
		select {
		case m.hints <- struct{}{}:
		default: // no call waits
		}
	}
	return m.failing || m.seen == 0 || n.Sub(m.lagging) >= ownWay
}

// Content returns the copy for another host.
func (m *Mirror) Content() (uint64, []byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := content{Seen: m.seen, Changed: m.changed, Doubt: max(m.doubtful.Sub(m.Clock.Now()), 0)}
	for _, r := range m.rows {
		c.Rows = append(c.Rows, r)
	}
	b, err := codec.Marshal(c)
	return m.changed, b, errors.Wrap(err, "copy of a table")
}

// Adopt takes another host's copy if it is newer.
func (m *Mirror) Adopt(b []byte) error {
	var c content
	if err := codec.Unmarshal(b, &c); err != nil {
		return errors.Wrap(err, "another host's copy of a table")
	}
	if !m.Behind(c.Changed) {
		return nil
	}
	m.Log.Info("copy taken from another host", "Table", m.Name, "Version", c.Changed)
	m.replace(c.Rows, c.Seen, c.Changed, c.Doubt)
	return nil
}

// changedBy returns the last change that a read of the whole table shows. A row
// that is missing now went at some time up to the read; without a copy from
// before, only the rows tell, and hosts that have seen more do not ask for less.
func (m *Mirror) changedBy(l []row.Row, version uint64) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.changed
	for _, r := range l {
		c = max(c, r.Version)
	}
	if m.seen > 0 && (c > m.changed || len(l) != len(m.rows)) {
		return version
	}
	return c
}

// apply takes changes of the feed.
func (m *Mirror) apply(l []row.Row, version uint64) {
	m.telling.Lock()
	defer m.telling.Unlock()
	m.mu.Lock()
	if version <= m.seen {
		m.mu.Unlock()
		return // a copy that was adopted meanwhile has them
	}
	m.seen = version
	m.lagging = time.Time{}
	if len(l) == 0 {
		m.mu.Unlock()
		return
	}
	m.changed = version
	c := maps.Clone(m.rows)
	for _, r := range l {
		if r.Version == 0 {
			delete(c, r.Key)
		} else {
			c[r.Key] = r
		}
	}
	m.rows = c
	d := m.doubtful
	m.mu.Unlock()
	m.Changed(c, d)
}

// replace takes a whole table.
func (m *Mirror) replace(l []row.Row, seen, changed uint64, doubt time.Duration) {
	m.telling.Lock()
	defer m.telling.Unlock()
	m.mu.Lock()
	if seen < m.seen {
		m.mu.Unlock()
		return
	}
	m.seen, m.changed = seen, changed
	m.reread = false
	m.lagging = time.Time{}
	c := make(map[string]row.Row, len(l))
	for _, r := range l {
		c[r.Key] = r
	}
	m.rows = c
	if doubt > 0 && m.troubled() {
		m.doubtful = m.Clock.Now().Add(doubt)
	}
	d := m.doubtful
	m.mu.Unlock()
	m.Changed(c, d)
}

// troubled reports whether the way to the store is blocked or was until just
// now. A host that has had the store all the while knows that there was no
// outage: what another one has in doubt after its own is certain here.
func (m *Mirror) troubled() bool {
	return m.failing || m.Clock.Now().Before(m.doubtful)
}

// open notes that the store answers. What comes with the first answer after an
// outage is already in doubt.
func (m *Mirror) open() {
	if m.Store != nil {
		m.Store.Seen()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failing {
		m.failing = false
		m.doubtful = m.Clock.Now().Add(doubtFor)
		m.Log.Info("store regained", "Table", m.Name)
	}
}

// fail notes that the store does not answer.
func (m *Mirror) fail(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.failing {
		m.failing = true
		m.Log.Warn("store lost", "Table", m.Name, "Error", err)
	}
}
