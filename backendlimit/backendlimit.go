// Package backendlimit knows how many requests a second backend servers take from
// all hosts together, as they name it in their answers.
package backendlimit

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/backend"
)

// Backendlimit keeps the limits that this host was told.
type Backendlimit struct {
	// Clock tells when an answer came.
	Clock clockwork.Clock
	// Log receives one line for each limit that is named, changed or withdrawn, and
	// for each value that is none.
	Log *log.Logger

	mu      sync.Mutex
	limits  map[key]*limit
	ignored int
}

// key names one process of a backend server: one that starts anew has no limit.
type key struct {
	name    string
	started int64
}

// limit is what is known of one backend server.
type limit struct {
	perSecond float64
	logged    float64 // the limit of the last line in the log
	ignored   string  // the last value that was no limit
}

// Answered takes what an answer of a backend server has in the header of its limit.
// An answer without a value withdraws the limit, if its request ran.
func (l *Backendlimit) Answered(b backend.Backend, _ time.Time, values []string, ran bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := key{name: b.Name, started: b.Started}
	m := l.limits[k]
	if m == nil && len(values) == 0 {
		return
	}
	if m == nil {
		m = &limit{perSecond: none, logged: none}
		if l.limits == nil {
			l.limits = make(map[key]*limit)
		}
		l.limits[k] = m
	}
	p, ok := parse(values)
	switch {
	case !ok:
		l.ignore(b, m, values)
	case p == none && !ran:
	default:
		m.perSecond = p
		l.tell(b, m)
	}
}

// Limited returns how many backend servers have a limit now.
func (l *Backendlimit) Limited() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, m := range l.limits {
		if m.perSecond < none {
			n++
		}
	}
	return n
}

// Ignored returns how many answers had a value that is no limit.
func (l *Backendlimit) Ignored() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ignored
}
