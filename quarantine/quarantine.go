// Package quarantine stops requests under which backend servers end. A request that makes
// the process of a backend server end would otherwise end the next one each time it is tried
// again or its caller comes back, until none of the service is left.
package quarantine

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/result"
)

const (
	// maxEnds is the number of processes that may end under a request, over all hosts and all
	// that callers send, before it is quarantined.
	maxEnds = 3
	// clearingAnswers in a row, over all hosts, show that a request is harmless: it ran beside another one, or by
	// chance, when a process ended.
	clearingAnswers = 3
	// quarantineTime is how long after the last end a request is refused at first. Then one attempt
	// of each host may run at a time, since a release may have mended what it sets off. With
	// each further end the time doubles, up to maxDoublings times.
	quarantineTime = 5 * time.Minute
	maxDoublings   = 3
	// doubtfulTime is how long a request is refused if other requests that were running on the
	// processes that ended may be the cause as well.
	doubtfulTime = 20 * time.Second
	// rememberTime is how long after the last end a suspect is remembered.
	rememberTime = quarantineTime << (maxDoublings + 1)
	// togetherTime is how far apart processes may end by the same cause, such as the loss of a
	// rack.
	togetherTime = 10 * time.Second
	// checkInterval is the time between two looks at processes of which it is not known whether
	// they have ended.
	checkInterval = 100 * time.Millisecond
	// pendingTime is how long a connection that broke off counts as the end of a process unless
	// it is known whether the process has ended.
	pendingTime = 4 * time.Second
	// aliveTime is how soon after that a process that is reached has not ended. Later it may be
	// another one, whose entry has not arrived.
	aliveTime = time.Second
	// sharedTime is how far apart the connections of a process break off when it ends.
	sharedTime = 10 * time.Millisecond
	// notifyRate, in calls a second, and notifyBurst limit the calls of Notify, for first ends and
	// for others: when many connections break off, the heartbeats that are due tell of many ends.
	notifyRate  = 1
	notifyBurst = 10
	// heldDelay is how long after a connection broke off it is mostly known whether the process has
	// ended.
	heldDelay = 1200 * time.Millisecond
	// lateDelay is the delay after which it may be known if it is not known by then, and the time
	// between two looks.
	lateDelay = 500 * time.Millisecond
	// watchTime is how long after that a process that seems to be alive may still turn out to be
	// another one.
	watchTime = 5 * time.Second
	// silentTime is from which on an attempt without a response at its deadline may have made
	// the process fall silent. Callers that leave deadlineMargin before the deadline count as
	// having waited.
	silentTime     = 300 * time.Millisecond
	deadlineMargin = 100 * time.Millisecond
	// waitDelay is the delay after which a request may be sent again that waits for another
	// one like it.
	waitDelay = 250 * time.Millisecond
	// maxOpen limits the ends of one process that are open at a time.
	maxOpen = 64
	// maxSuspects and maxAnswered limit the requests that are remembered.
	maxSuspects = 1024
	maxAnswered = 4096
)

// Quarantine remembers under which requests processes of backend servers ended, on this host
// and on others. Requests are the same if they have the same fingerprint.
type Quarantine struct {
	// Clock measures the age of ends.
	Clock clockwork.Clock
	// Log receives one line for each process that ended under a request, and for each request
	// that is quarantined or cleared.
	Log *log.Logger
	// Probe finds out soon whether a process still runs.
	Probe func(b backend.Backend)
	// State reports what is known of a process whose connection broke off at a given time:
	// that it has ended, that it is alive, or neither. It may wait for what calls Set.
	State func(b backend.Backend, since time.Time) (ended, alive bool)
	// Notify is called when other hosts should be told at once.
	Notify func()
	// OnRefuse is called with each request that is not sent.
	OnRefuse func(final bool)

	mu       sync.Mutex
	suspects *simplelru.LRU[string, *suspect]
	answered *simplelru.LRU[string, *answers]
	cleared  *simplelru.LRU[string, time.Time]
	running  map[string]int             // attempts of this host
	listed   map[uint64]backend.Backend // by process
	named    map[string]backend.Backend // the same by name
	open     map[uint64][]*end          // those of which this host has to find out what they are, by process
	wake     chan struct{}
	first    *rate.Limiter // of calls of Notify for first ends
	other    *rate.Limiter // of those for other news
	late     bool          // whether Notify is to be called once other allows it
}

// answers is what this host knows of a request that was answered.
type answers struct {
	inRow int
	// knownUntil is until when attempts were sent that say nothing if they break off, since the
	// request was known to be harmless.
	knownUntil time.Time
}

// New returns an empty Quarantine.
func New() *Quarantine {
	q := &Quarantine{running: make(map[string]int), open: make(map[uint64][]*end), wake: make(chan struct{}, 1)}
	q.first, q.other = rate.NewLimiter(notifyRate, notifyBurst), rate.NewLimiter(notifyRate, notifyBurst)
	q.suspects = newLRU[*suspect](maxSuspects)
	q.answered = newLRU[*answers](maxAnswered)
	q.cleared = newLRU[time.Time](maxSuspects)
	return q
}

func newLRU[V any](n int) *simplelru.LRU[string, V] {
	l, err := simplelru.NewLRU[string, V](n, nil)
	if err != nil {
		panic(err) // the size is a constant above zero
	}
	return l
}

// Set replaces the list of backend servers.
func (q *Quarantine) Set(l []backend.Backend) {
	m, n := make(map[uint64]backend.Backend, len(l)), make(map[string]backend.Backend, len(l))
	for _, b := range l {
		m[process(b)], n[b.Name] = b, b
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.listed, q.named = m, n
}

// Allows reports whether a request may be sent. If not, final is set if it is quarantined; else
// it may be sent after the delay, or is quarantined by then.
func (q *Quarantine) Allows(fingerprint string) (ok, final bool, again time.Duration) {
	if fingerprint == "" {
		return true, false, 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.allows(fingerprint, 0)
}

// Start is like Allows, and counts an attempt as running if it may be sent.
func (q *Quarantine) Start(fingerprint string) (ok, final bool, again time.Duration) {
	if fingerprint == "" {
		return true, false, 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	ok, final, again = q.allows(fingerprint, q.running[fingerprint])
	if ok {
		q.running[fingerprint]++
	}
	return ok, final, again
}

// allows decides on a request of which so many attempts of this host run. Each of them may
// be the one under which the last process ends that may.
func (q *Quarantine) allows(f string, running int) (ok, final bool, again time.Duration) {
	s, ok := q.suspects.Get(f)
	if !ok {
		return true, false, 0
	}
	n := q.Clock.Now()
	c, p := q.count(f, s, n)
	if s.until.After(n) {
		q.refused(true)
		return false, true, 0
	}
	c = min(c, maxEnds-1) // after the quarantine, or if it is not the cause
	switch {
	case c+p >= maxEnds:
		q.refused(false)
		return false, false, s.openFor(n)
	case c+p > 0 && c+p+running >= maxEnds:
		q.refused(false)
		return false, false, waitDelay
	}
	return true, false, 0
}

func (q *Quarantine) refused(final bool) {
	if q.OnRefuse != nil {
		q.OnRefuse(final)
	}
}

// End ends an attempt that Start allowed. B is the process to which it was sent, startedAt is
// when. The result decides what it says about the request.
func (q *Quarantine) End(r *request.Request, b backend.Backend, startedAt time.Time, v result.Result) {
	f := r.Fingerprint
	if f == "" {
		return
	}
	k := b.Name != "" && (v == result.Failed || v == result.Canceled && q.isSilent(r, b, startedAt))
	q.mu.Lock()
	if q.running[f]--; q.running[f] <= 0 {
		delete(q.running, f)
	}
	c := noNews
	switch {
	case v == result.Succeeded && q.recordAnswer(f):
		c = otherNews
	case k:
		c = q.recordBreak(r, b, startedAt)
	}
	q.mu.Unlock()
	q.tell(c)
}

// EndElsewhere records that an attempt of another host broke off, at the backend server of that
// name. StartedAt is when the request was forwarded.
func (q *Quarantine) EndElsewhere(r *request.Request, name string, startedAt time.Time) {
	c := noNews
	q.mu.Lock()
	if b, ok := q.named[name]; ok && r.Fingerprint != "" {
		c = q.recordBreak(r, b, startedAt)
	}
	q.mu.Unlock()
	q.tell(c)
}

// isSilent reports whether nothing has come from a process lately, at the end of an attempt that
// ran until the deadline.
func (q *Quarantine) isSilent(r *request.Request, b backend.Backend, startedAt time.Time) bool {
	n := q.Clock.Now()
	if n.Sub(startedAt) < silentTime || n.Before(r.Deadline.Add(-deadlineMargin)) {
		return false
	}
	_, a := q.State(b, n.Add(-silentTime))
	return !a
}

// recordAnswer records an answer, and reports whether other hosts should be told at once.
func (q *Quarantine) recordAnswer(f string) bool {
	a, ok := q.answered.Get(f)
	if !ok {
		a = new(answers)
		q.answered.Add(f, a)
	}
	a.inRow++
	s, ok := q.suspects.Get(f)
	if !ok {
		return false
	}
	s.answers++
	return q.clear(f, s)
}

// clear clears a suspect that was answered often enough, and reports whether it did.
func (q *Quarantine) clear(f string, s *suspect) bool {
	n := s.answersInRow()
	if n < clearingAnswers {
		return false
	}
	q.suspects.Remove(f)
	q.cleared.Add(f, q.Clock.Now())
	q.Log.Info("request cleared", "Fingerprint", short(f), "Answers", n, "Ended", len(s.ends))
	return true
}

// recordBreak records an attempt that broke off. It is no news if it says nothing about the request.
func (q *Quarantine) recordBreak(r *request.Request, b backend.Backend, startedAt time.Time) news {
	n := q.Clock.Now()
	f := r.Fingerprint
	if a, ok := q.answered.Get(f); ok {
		if a.inRow >= clearingAnswers {
			a.knownUntil = n
		}
		a.inRow = 0
		if !startedAt.After(a.knownUntil) {
			r.DecisionLog.Add(n, "broke off, and was answered before", "Backend", b.Name, "Started", b.Started, "Fingerprint", short(f))
			return noNews
		}
	}
	k := process(b)
	s := q.suspect(f)
	s.tells = true
	if s.ends[k] == nil {
		e, first := q.watch(k, b, n)
		s.addEnd(k, e)
		if first {
			q.Probe(b)
		}
	}
	r.DecisionLog.Add(n, "broke off", "Backend", b.Name, "Started", b.Started, "Fingerprint", short(f), "Ends", len(s.ends))
	return s.news()
}

// Size returns how many answered requests and how many suspects are remembered.
func (q *Quarantine) Size() (answered, suspects int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.answered.Len(), q.suspects.Len()
}

// Count returns how many requests are quarantined.
func (q *Quarantine) Count() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := q.Clock.Now()
	c := 0
	for _, f := range q.suspects.Keys() {
		if s, ok := q.suspects.Peek(f); ok && s.until.After(n) {
			c++
		}
	}
	return c
}
