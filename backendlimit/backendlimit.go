// Package backendlimit holds the requests to backend servers in need to as many a
// second as they take from all hosts together, by what they name in their answers.
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
	// divideEvery is how often the parts of a limit follow the list of hosts.
	divideEvery = 500 * time.Millisecond
	// forgetAfter is how long a limit is kept of which nothing is heard.
	forgetAfter = 10 * time.Minute
	// newsPause is between two calls of News: a limit may change with each answer.
	newsPause = 100 * time.Millisecond
)

// Backendlimit keeps the limits of backend servers, as their answers to this host and
// to others tell them, and this host's part of each. The parts are fixed, as nobody can
// count all hosts' requests in time, and hosts that are cut off from each other must
// not send more together than hosts that are not.
type Backendlimit struct {
	// Clock tells when an answer came.
	Clock clockwork.Clock
	// Log receives one line for each limit that is named, changed or withdrawn, and
	// for each value that is none.
	Log *log.Logger
	// Self is the name of this host.
	Self string
	// Hosts returns all hosts that may send, this one included, or nobody before they
	// are known.
	Hosts func() []member.Member
	// Far is how much a host of another region than the backend server's gets of a
	// limit, relative to one of the same region.
	Far float64
	// Overage, Slack and Window make the bound of a limit: the hosts together send at
	// most limit x Window x Overage + Slack requests in any Window.
	Overage, Slack float64
	Window         time.Duration
	// News is called when other hosts should hear of a limit at once.
	News func()

	limited atomic.Int64 // backend servers that have a limit

	mu       sync.Mutex
	limits   map[key]*limit
	ignored  int
	hurried  time.Time // when News was last called
	hosts    []member.Member
	followed time.Time // when hosts was found out
}

// key names one process of a backend server: one that starts anew has no limit.
type key struct {
	name    string
	started int64
}

func keyOf(b backend.Backend) key {
	return key{name: b.Name, started: b.Started}
}

// Answered takes what an answer of a backend server has in the header of its limit, and
// when its request went out. An answer without a value withdraws the limit if the request was
// served: one that fails may be made by what does not know of limits.
func (l *Backendlimit) Answered(b backend.Backend, sent time.Time, values []string, served bool) {
	if len(values) == 0 && !served {
		return
	}
	if l.answered(b, sent, values) {
		l.News()
	}
}

// answered reports whether other hosts should hear of it at once.
func (l *Backendlimit) answered(b backend.Backend, sent time.Time, values []string) bool {
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
		l.ignore(b, m, values)
		return false
	}
	n := l.Clock.Now()
	w := word{perSecond: p, asked: sent, answered: n}
	if w.after(m.own) {
		m.own = w
	}
	if !l.take(b.Name, m, w, "") || n.Sub(l.hurried) < newsPause {
		return false
	}
	l.hurried = n
	return true
}

// Allow reports whether a backend server may get a request of this host now.
func (l *Backendlimit) Allow(b backend.Backend) bool {
	if l.limited.Load() == 0 {
		return true
	}
	l.follow()
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.limits[keyOf(b)]
	if m == nil || m.word.perSecond == none {
		return true
	}
	n := l.Clock.Now()
	l.divide(b, m, n)
	return m.allows(n)
}

// Spend counts a request that a backend server gets.
func (l *Backendlimit) Spend(b backend.Backend) {
	if l.limited.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if m := l.limits[keyOf(b)]; m != nil && m.word.perSecond < none {
		m.spend(l.Clock.Now())
	}
}

// Until returns in which time a backend server may get a request of this host, as of
// the last Allow.
func (l *Backendlimit) Until(b backend.Backend) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m := l.limits[keyOf(b)]; m != nil && m.word.perSecond < none {
		return m.until(l.Clock.Now())
	}
	return 0
}

// Limited returns how many backend servers have a limit now.
func (l *Backendlimit) Limited() int {
	return int(l.limited.Load())
}

// Ignored returns how many answers had a value that is no limit.
func (l *Backendlimit) Ignored() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ignored
}

// follow finds out which hosts there are. It is called without the lock: Hosts takes
// locks of its own.
func (l *Backendlimit) follow() {
	n := l.Clock.Now()
	l.mu.Lock()
	f := n.Sub(l.followed) < divideEvery
	l.mu.Unlock()
	if f {
		return
	}
	h := l.Hosts()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts, l.followed = h, n
}

// add returns a new limit.
func (l *Backendlimit) add(k key) *limit {
	if l.limits == nil {
		l.limits = make(map[key]*limit)
	}
	m := &limit{word: word{perSecond: none}, own: word{perSecond: none}, logged: none}
	l.limits[k] = m
	return m
}

// forget drops limits of which nothing was heard for long: those of backend servers that
// are gone.
func (l *Backendlimit) forget(now time.Time) {
	for k, m := range l.limits {
		if now.Sub(m.word.answered) > forgetAfter {
			l.count(m.word.perSecond, none)
			delete(l.limits, k)
		}
	}
}

// take believes a word if it is newer, and reports whether it changes much.
func (l *Backendlimit) take(backend string, m *limit, w word, from string) bool {
	if !w.after(m.word) {
		return false
	}
	l.count(m.word.perSecond, w.perSecond)
	m.believe(w)
	return l.tell(backend, m, from)
}

// count keeps the number of backend servers with a limit when one changes.
func (l *Backendlimit) count(before, now float64) {
	switch {
	case before == none && now < none:
		l.limited.Add(1)
	case before < none && now == none:
		l.limited.Add(-1)
	}
}
