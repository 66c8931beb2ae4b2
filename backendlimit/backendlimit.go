// Package backendlimit limits the rate of requests that all hosts together send to a
// backend server to the rate that the server advertises in its responses when it is
// overloaded.
package backendlimit

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/member"
)

const (
	// refreshInterval is how often the list of hosts is read and the shares of a limit
	// are recomputed.
	refreshInterval = 500 * time.Millisecond
	// retention is how long a limit without new observations is kept.
	retention = 10 * time.Minute
	// minNotifyInterval is the minimum time between two calls of Notify, since a limit
	// may change with each response.
	minNotifyInterval = 100 * time.Millisecond
)

// Backendlimit holds the limits of backend servers, as observed in responses to this
// host and to others, and this host's share of each. The shares are fixed, since the
// requests of all hosts cannot be counted in time, and partitioned hosts together must
// not send more than connected ones.
type Backendlimit struct {
	// Clock is the time source of observations and buckets.
	Clock clockwork.Clock
	// Log receives one line for each limit that is set, changed or withdrawn, and for
	// each invalid value.
	Log *log.Logger
	// Self is the name of this host.
	Self string
	// Hosts returns all hosts that may send requests, including this one, or none until
	// they are known.
	Hosts func() []member.Member
	// RemoteWeight is the weight of a host outside the backend server's region in the
	// division of a limit, relative to a host in that region.
	RemoteWeight float64
	// Overage, Slack and Window define the bound of a limit: all hosts together send at
	// most limit x Window x Overage + Slack requests in any Window.
	Overage, Slack float64
	Window         time.Duration
	// Notify is called when other hosts should be notified of a limit immediately.
	Notify func()

	limited atomic.Int64 // number of backend servers with a limit

	mu           sync.Mutex
	limits       map[key]*limit
	ignored      int
	lastNotify   time.Time // when Notify was last called
	hosts        []member.Member
	hostsUpdated time.Time // when hosts was last updated
}

// key identifies one process of a backend server. A restarted process has no limit.
type key struct {
	name    string
	started int64
}

func keyOf(b backend.Backend) key {
	return key{name: b.Name, started: b.Started}
}

// Observe processes the limit header of a response from a backend server to a request
// sent at the given time. A response without a value withdraws the limit only if the
// request was served: a failure may come from a component that does not implement
// limits.
func (l *Backendlimit) Observe(b backend.Backend, sent time.Time, values []string, served bool) {
	if len(values) == 0 && !served {
		return
	}
	if l.update(b, sent, values) {
		l.Notify()
	}
}

// update records a response and reports whether other hosts should be notified
// immediately.
func (l *Backendlimit) update(b backend.Backend, sent time.Time, values []string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.limits[keyOf(b)]
	if m == nil && len(values) == 0 {
		return false
	}
	if m == nil {
		m = l.add(keyOf(b))
	}
	p, ok := parse(values)
	if !ok {
		l.countIgnored(b, m, values)
		return false
	}
	n := l.Clock.Now()
	w := observation{perSecond: p, sent: sent, received: n}
	if w.supersedes(m.own) {
		m.own = w
	}
	if !l.apply(b.Name, m, w, "") || n.Sub(l.lastNotify) < minNotifyInterval {
		return false
	}
	l.lastNotify = n
	return true
}

// Allow reports whether this host may send a request to a backend server now.
func (l *Backendlimit) Allow(b backend.Backend) bool {
	if l.limited.Load() == 0 {
		return true
	}
	l.refreshHosts()
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.limits[keyOf(b)]
	if m == nil || m.current.perSecond == unlimited {
		return true
	}
	n := l.Clock.Now()
	l.divide(b, m, n)
	return m.allows(n)
}

// RecordSent counts a request sent to a backend server.
func (l *Backendlimit) RecordSent(b backend.Backend) {
	if l.limited.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if m := l.limits[keyOf(b)]; m != nil && m.current.perSecond < unlimited {
		m.recordSent(l.Clock.Now())
	}
}

// RetryAfter returns the time until this host may send a request to a backend server,
// as of the last call of Allow.
func (l *Backendlimit) RetryAfter(b backend.Backend) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m := l.limits[keyOf(b)]; m != nil && m.current.perSecond < unlimited {
		return m.retryAfter(l.Clock.Now())
	}
	return 0
}

// Limited returns how many backend servers currently have a limit.
func (l *Backendlimit) Limited() int {
	return int(l.limited.Load())
}

// Ignored returns how many responses had an invalid limit.
func (l *Backendlimit) Ignored() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ignored
}

// refreshHosts updates the list of hosts. The caller must not hold the lock, since
// Hosts takes locks of its own.
func (l *Backendlimit) refreshHosts() {
	n := l.Clock.Now()
	l.mu.Lock()
	f := n.Sub(l.hostsUpdated) < refreshInterval
	l.mu.Unlock()
	if f {
		return
	}
	h := l.Hosts()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts, l.hostsUpdated = h, n
}

// add creates the state of a backend server, without a limit.
func (l *Backendlimit) add(k key) *limit {
	if l.limits == nil {
		l.limits = make(map[key]*limit)
	}
	m := &limit{current: observation{perSecond: unlimited}, own: observation{perSecond: unlimited}, loggedRate: unlimited}
	l.limits[k] = m
	return m
}

// removeStale removes limits without recent observations, as of backend servers that
// were removed.
func (l *Backendlimit) removeStale(now time.Time) {
	for k, m := range l.limits {
		if now.Sub(m.current.received) > retention {
			l.countLimited(m.current.perSecond, unlimited)
			delete(l.limits, k)
		}
	}
}

// apply accepts an observation that supersedes the current one, and reports whether the
// limit changed enough to be logged.
func (l *Backendlimit) apply(backend string, m *limit, w observation, from string) bool {
	if !w.supersedes(m.current) {
		return false
	}
	l.countLimited(m.current.perSecond, w.perSecond)
	m.set(w)
	return l.logChange(backend, m, from)
}

// countLimited updates the number of backend servers with a limit when one changes.
func (l *Backendlimit) countLimited(before, now float64) {
	switch {
	case before == unlimited && now < unlimited:
		l.limited.Add(1)
	case before < unlimited && now == unlimited:
		l.limited.Add(-1)
	}
}
