package edge

import (
	"context"
	"time"

	"celeryreach.example/celeryreach/freshness"
	"celeryreach.example/celeryreach/mirror"
	"celeryreach.example/celeryreach/rendezvous"
	"celeryreach.example/celeryreach/row"
)

const (
	// settle is left of Contact for the call that follows a doubt: from the
	// farthest region, of a slow store.
	settle = 800 * time.Millisecond
	// replyParts is the part of Contact that a call may take which does not wait.
	// One that fell silent just before the store's return, the pause and the next
	// call then end within Contact.
	replyParts = 3
	// news is how long a heartbeat that is sent at once may take inside a region,
	// with the answer of the store that it tells of.
	news = 400 * time.Millisecond
	// leastWatch bounds how often a region's watcher asks.
	leastWatch = 500 * time.Millisecond
)

// watchStore lets all hosts together notice that the store has fallen silent. Each
// host's calls wait for seconds, since calls are paid for, and a call that was open
// when the store fell silent may never be answered. For each table one host of each
// region asks often, and tells the others at once that the store answers. When no
// host has had an answer for too long, all ask again.
func (e *Edge) watchStore() {
	t := e.Contact - settle
	for _, m := range []*mirror.Mirror{e.Config, e.Backends} {
		m.Store = &freshness.Freshness{Clock: e.Clock}
		m.Trust, m.Reply = t, e.Contact/replyParts
		e.watch(m, t-news)
	}
}

// watch makes the copy of a table ask often while this host is its watcher, so that
// its answers are no more than often apart. A call begins later than the answer before
// it: after a change the copy pauses.
func (e *Edge) watch(m *mirror.Mirror, often time.Duration) {
	w, f := m.Wait, m.Feed
	m.Wait = func() time.Duration {
		if !e.watcher(m.Name) {
			return w()
		}
		return min(max(often-time.Duration(m.Store.Own()), leastWatch), w())
	}
	m.Feed = func(ctx context.Context, after uint64, d time.Duration) ([]row.Row, uint64, error) {
		r, v, err := f(ctx, after, d)
		if err == nil && e.watcher(m.Name) {
			m.Store.Seen()
			e.membership.Hurry()
		}
		return r, v, err
	}
}

// watcher reports whether this host is the one of its region that asks for a table
// often. While hosts disagree on who is alive there may be two, or none: then each
// asks for itself.
func (e *Edge) watcher(table string) bool {
	l := []string{e.Self.Name}
	for _, m := range e.membership.Alive() {
		if m.Region == e.Self.Region && !m.Leaving {
			l = append(l, m.Name)
		}
	}
	return rendezvous.Rank(table, e.Self.Name, l) == 0
}
