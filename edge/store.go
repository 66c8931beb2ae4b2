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
	// recheckMargin is the part of RecoveryTime reserved for the call that rechecks the
	// store when its last response has become too old. It covers a call from the
	// farthest region to a slow store.
	recheckMargin = 800 * time.Millisecond
	// replyTimeoutDivisor sets the timeout of a call that does not wait for changes,
	// as a divisor of RecoveryTime. If a call is lost just before the store recovers,
	// then the timeout of that call, the pause after it and the next call together fit
	// into RecoveryTime.
	replyTimeoutDivisor = 3
	// urgentHeartbeatDelay is the time allowed for a response of the store and for the
	// urgent heartbeat that reports it within the region.
	urgentHeartbeatDelay = 400 * time.Millisecond
	// minWatchInterval is the shortest wait of the watcher's calls to the store.
	minWatchInterval = 500 * time.Millisecond
)

// watchStore lets the hosts detect together that the store has stopped responding. The
// calls of each host wait for seconds, because calls cost money, and a call that was
// open when the store stopped responding may never return. For each table, one host per
// region (the watcher) calls the store often and reports each response to the other
// hosts at once. When no host has received a response for too long, all hosts call the
// store again, and report a response at once as well.
func (e *Edge) watchStore() {
	t := e.RecoveryTime - recheckMargin
	for _, m := range []*mirror.Mirror{e.Config, e.Backends} {
		m.StoreFreshness = &freshness.Freshness{
			Clock: e.Clock, MinOutage: max(t, e.ExpiryTime-urgentHeartbeatDelay), ReportDelay: heartbeatInterval + urgentHeartbeatDelay,
		}
		m.StoreTimeout, m.ReplyTimeout = t, e.RecoveryTime/replyTimeoutDivisor
		e.pollWhileWatcher(m, t-urgentHeartbeatDelay)
	}
}

// pollWhileWatcher shortens the calls for a table while this host is its watcher, so
// that responses are at most interval apart. The age of the last response is
// subtracted, because a call may start later than the response before it: the copy
// pauses after a change.
func (e *Edge) pollWhileWatcher(m *mirror.Mirror, interval time.Duration) {
	w, f := m.LongPollTimeout, m.ReadChanges
	m.LongPollTimeout = func() time.Duration {
		if !e.isWatcher(m.Name) {
			return w()
		}
		return min(max(interval-time.Duration(m.StoreFreshness.OwnAge()), minWatchInterval), w())
	}
	m.ReadChanges = func(ctx context.Context, after uint64, d time.Duration) ([]row.Row, uint64, error) {
		r, v, err := f(ctx, after, d)
		if err == nil && (e.isWatcher(m.Name) || isNews(m)) {
			m.StoreFreshness.RecordContact()
			e.membership.SendSoon()
		}
		return r, v, err
	}
}

// isNews reports whether an answer of the store ends a silence, or would end one that other
// hosts could take for an outage if it was reported by the next heartbeat only, since no host
// had a later answer than this one before it.
func isNews(m *mirror.Mirror) bool {
	f := m.StoreFreshness
	return f.Remaining(m.StoreTimeout) <= 0 || f.OwnIsLast() && f.Remaining(f.MinOutage-f.ReportDelay) <= 0
}

// isWatcher reports whether this host is the watcher of a table in its region. While
// hosts disagree on which hosts are alive there may be two watchers or none; without
// one, each host relies on its own calls.
func (e *Edge) isWatcher(table string) bool {
	l := []string{e.Self.Name}
	for _, m := range e.membership.Alive() {
		if m.Region == e.Self.Region && !m.Leaving {
			l = append(l, m.Name)
		}
	}
	return rendezvous.Rank(table, e.Self.Name, l) == 0
}
