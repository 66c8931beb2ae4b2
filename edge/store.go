package edge

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"celeryreach.example/celeryreach/child"
	"celeryreach.example/celeryreach/freshness"
	"celeryreach.example/celeryreach/gossip"
	"celeryreach.example/celeryreach/mirror"
	"celeryreach.example/celeryreach/peerclient"
	"celeryreach.example/celeryreach/rendezvous"
	"celeryreach.example/celeryreach/row"
	"celeryreach.example/celeryreach/wire"
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
		g := gossip.New()
		g.Clock, g.Tell, g.IsTold = e.Clock, e.membership.SendSoon, func() bool { return e.isTold(m) }
		e.gossip = append(e.gossip, child.Child{Name: "gossip " + m.Name, Run: g.Run})
		e.pollWhileWatcher(m, g, t-urgentHeartbeatDelay)
	}
}

// pollWhileWatcher shortens the calls for a table while this host is its watcher, so
// that responses are at most interval apart. The age of the last response is
// subtracted, because a call may start later than the response before it: the copy
// pauses after a change. A response is reported when it has been applied, since a
// heartbeat before that would carry the version before.
func (e *Edge) pollWhileWatcher(m *mirror.Mirror, g *gossip.Gossip, interval time.Duration) {
	w, f := m.LongPollTimeout, m.ReadChanges
	m.LongPollTimeout = func() time.Duration {
		if !e.isWatcher(m.Name) {
			return w()
		}
		return min(max(interval-time.Duration(m.StoreFreshness.OwnAge()), minWatchInterval), w())
	}
	var report atomic.Bool // the response that is being applied
	m.ReadChanges = func(ctx context.Context, after uint64, d time.Duration) ([]row.Row, uint64, error) {
		r, v, err := f(ctx, after, d)
		if err == nil && (e.isWatcher(m.Name) || isNews(m)) {
			m.StoreFreshness.RecordContact()
			report.Store(true)
		}
		return r, v, err
	}
	m.OnVersion = func(fromHost bool) {
		g.Announce(report.Swap(false) || e.isWatcher(m.Name) || fromHost && !e.isTold(m))
	}
	m.OnAnswer = func() {
		if m == e.Backends {
			e.discovery.ConfirmBackends()
		}
		if report.Swap(false) {
			e.membership.SendSoon()
		}
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
	return len(e.preceding(table)) == 0
}

// preceding returns the hosts of the region that would be the watcher of a table before this one.
func (e *Edge) preceding(table string) []string {
	var l []string
	s := rendezvous.Uniform(table, e.Self.Name)
	for _, m := range e.membership.Alive() {
		if m.Region == e.Self.Region && !m.Leaving && rendezvous.Uniform(table, m.Name) > s {
			l = append(l, m.Name)
		}
	}
	return l
}

// isTold reports whether a host that precedes this one has this host's version of a table. The
// first host of the region that has a version is preceded by none that has it, and tells the others.
func (e *Edge) isTold(m *mirror.Mirror) bool {
	v := m.Version()
	for _, n := range e.preceding(m.Name) {
		h, ok := e.membership.LastHeartbeat(n)
		if ok && slices.ContainsFunc(h.GetVersions(), func(w *wire.Version) bool { return w.GetKind() == m.Name && w.GetVersion() >= v }) {
			return true
		}
	}
	return false
}

// fetchCopy requests a copy of a table from a host, on a connection of its own: a copy can be large,
// and must not delay heartbeats, or end with the connection of one that gets no reply.
func (e *Edge) fetchCopy(ctx context.Context, address string, f *wire.FetchRequest) (*wire.FetchResponse, error) {
	c := &peerclient.Peerclient{Dial: e.client.Dial}
	defer c.Close()
	return c.Fetch(ctx, address, f)
}
