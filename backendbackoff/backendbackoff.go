// Package backendbackoff records for how long backend servers that refuse a request want no
// further ones from this host.
package backendbackoff

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/deadline"
)

const (
	// maxBackoff bounds each stated time: a wrong value must not keep a backend server
	// unused for good.
	maxBackoff = time.Hour
	// retention is how long the state of a backend server is kept after its backoff has
	// ended and after its last value.
	retention = 10 * time.Minute
)

// Backendbackoff holds the backoffs of backend servers. They are kept independently of
// the list of backend servers, which may leave one out for a moment.
type Backendbackoff struct {
	// Clock is the time source of the backoffs.
	Clock clockwork.Clock
	// Log receives one line for each backoff, for each invalid value, and for each
	// backend server that is used again.
	Log *log.Logger

	tracked atomic.Int64 // number of entries of backoffs, read without mu

	mu            sync.Mutex
	backoffs      map[key]*backoff
	ignored       int
	sentMeanwhile int
}

// key identifies one process of a backend server. A restarted process has no backoff.
type key struct {
	name    string
	started int64
}

func keyOf(b backend.Backend) key {
	return key{name: b.Name, started: b.Started}
}

// backoff is the state of one backend server.
type backoff struct {
	until         time.Time // the latest end that the backend server stated, zero if it is used again
	lastBegan     time.Time // when the backoff that ends at until began
	firstBegan    time.Time // when the first of consecutive backoffs began
	updated       time.Time // when the last value was received
	loggedUntil   time.Time // the end that was last logged
	sentMeanwhile int       // answered requests that were sent during the backoffs
	ignoredValue  string    // the last invalid value
}

// Observe processes the response of a backend server to a request sent at the given time.
// values are the times that it stated, in seconds or as HTTP dates, for which it wants no
// requests; there are none unless it refused the request. date is the response's Date
// header.
func (f *Backendbackoff) Observe(b backend.Backend, sent time.Time, values []string, date string) {
	if len(values) == 0 && f.tracked.Load() == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.Clock.Now()
	m := f.backoffs[keyOf(b)]
	if m == nil && len(values) == 0 {
		return
	}
	if m == nil {
		f.removeStale(n)
		m = f.add(keyOf(b))
	}
	if sent.After(m.lastBegan) && sent.Before(m.until) {
		m.sentMeanwhile++
		f.sentMeanwhile++
	}
	d, ok := time.Duration(0), true
	if len(values) > 0 {
		m.updated = n
		d, ok = parse(values, date, n)
	}
	if !ok {
		f.countIgnored(b, m, values)
	}
	if d > 0 {
		f.extend(b, m, n, min(d, maxBackoff))
	} else if !m.until.IsZero() && !sent.Before(m.until) {
		f.end(b, m, n)
	}
}

// extend starts a backoff or moves its end. Each response states its own end, so an
// earlier one never replaces a later one.
func (f *Backendbackoff) extend(b backend.Backend, m *backoff, now time.Time, d time.Duration) {
	if m.until.IsZero() {
		m.firstBegan, m.loggedUntil, m.sentMeanwhile = now, now, 0
	}
	if !m.until.After(now) {
		m.lastBegan = now
	}
	m.until = deadline.Later(m.until, now.Add(d))
	f.logExtended(b, m, now)
}

// end ends the backoff of a backend server that has answered a request sent after its end
// without stating another one.
func (f *Backendbackoff) end(b backend.Backend, m *backoff, now time.Time) {
	f.logEnded(b, m, now)
	m.until = time.Time{}
}

// Allow reports whether a backend server may be sent requests now.
func (f *Backendbackoff) Allow(b backend.Backend) bool {
	return f.RetryAfter(b) == 0
}

// RetryAfter returns the time until the end of a backend server's backoff, zero if it
// has none.
func (f *Backendbackoff) RetryAfter(b backend.Backend) time.Duration {
	if f.tracked.Load() == 0 {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.backoffs[keyOf(b)]
	if m == nil {
		return 0
	}
	return max(m.until.Sub(f.Clock.Now()), 0)
}

// Recovering reports whether the backoff of a backend server has ended and no request
// sent after its end has been answered yet, and returns its end. Many callers may then
// return at once, so the backend server should get few requests.
func (f *Backendbackoff) Recovering(b backend.Backend) (ended time.Time, ok bool) {
	if f.tracked.Load() == 0 {
		return time.Time{}, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.backoffs[keyOf(b)]
	if m == nil || m.until.IsZero() || m.until.After(f.Clock.Now()) {
		return time.Time{}, false
	}
	return m.until, true
}

// Active returns how many backend servers currently want no requests.
func (f *Backendbackoff) Active() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, t := 0, f.Clock.Now()
	for _, m := range f.backoffs {
		if m.until.After(t) {
			n++
		}
	}
	return n
}

// Ignored returns how many responses had an invalid value.
func (f *Backendbackoff) Ignored() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ignored
}

// SentMeanwhile returns how many requests were sent to backend servers that wanted none,
// and answered.
func (f *Backendbackoff) SentMeanwhile() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sentMeanwhile
}

// add creates the state of a backend server, without a backoff.
func (f *Backendbackoff) add(k key) *backoff {
	if f.backoffs == nil {
		f.backoffs = make(map[key]*backoff)
	}
	m := new(backoff)
	f.backoffs[k] = m
	f.tracked.Add(1)
	return m
}

// removeStale removes states older than retention, so that those of processes that are gone
// do not accumulate.
func (f *Backendbackoff) removeStale(now time.Time) {
	for k, m := range f.backoffs {
		if now.Sub(deadline.Later(m.until, m.updated)) > retention {
			delete(f.backoffs, k)
			f.tracked.Add(-1)
		}
	}
}
