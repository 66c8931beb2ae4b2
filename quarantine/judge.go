package quarantine

import (
	"context"
	"slices"
	"time"

	"celeryreach.example/celeryreach/backend"
)

// Run finds out which processes have ended until ctx ends.
func (q *Quarantine) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		var t <-chan time.Time
		if o := q.Judge(); q.sendNews() || o {
			t = q.Clock.After(checkInterval)
		}
		select {
		case <-ctx.Done():
		case <-t:
		case <-q.wake:
		}
	}
	return nil
}

// Judge finds out which processes have ended, and reports whether that is still open for some.
func (q *Quarantine) Judge() bool {
	l, o := q.openEnds()
	q.judgeEnds(l)
	q.mu.Lock()
	n := q.Clock.Now()
	c := noNews
	for _, f := range q.suspects.Keys() {
		s, ok := q.suspects.Peek(f)
		if !ok {
			continue
		}
		v, _ := q.count(f, s, n)
		if v > s.told {
			if v >= maxEnds { // to hosts that can't judge
				c = otherNews
			}
			q.Log.Info("backend server ended under a request", "Fingerprint", short(f), "Ended", s.names(), "Processes", s.processes())
		}
		s.told = v
	}
	q.mu.Unlock()
	q.tell(c)
	return o
}

// openEnds returns the ends that are to be judged now, and whether any are open.
func (q *Quarantine) openEnds() (due []*end, anyOpen bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := q.Clock.Now()
	for k, l := range q.open {
		l = slices.DeleteFunc(l, func(e *end) bool { return !e.isOpen(n) })
		if q.open[k] = l; len(l) == 0 {
			delete(q.open, k)
		}
		for _, e := range l {
			if n.Sub(e.at) <= heldDelay || n.Sub(e.judgedAt) >= lateDelay {
				e.judgedAt = n
				due = append(due, e)
			}
		}
	}
	return due, len(q.open) > 0
}

// judgeEnds looks up what the ends are. What State asks may hold a lock while it calls Set, so
// State is called without one.
func (q *Quarantine) judgeEnds(l []*end) {
	for _, e := range l {
		d, a := q.State(e.backend, e.at)
		q.mu.Lock()
		e.confirmed = e.confirmed || d
		e.alive = e.alive || a && q.Clock.Since(e.at) <= aliveTime
		q.mu.Unlock()
	}
}

// news is what other hosts should be told at once. First ends are the most frequent and the least
// urgent.
type news int

const (
	noNews news = iota
	firstEnd
	otherNews
)

// tell calls Notify if there is news, at once unless it was called often just before.
func (q *Quarantine) tell(n news) {
	l := q.other
	switch n {
	case noNews:
		return
	case firstEnd:
		l = q.first
	}
	if l.AllowN(q.Clock.Now(), 1) {
		q.Notify()
		return
	}
	q.mu.Lock()
	q.late = true
	q.mu.Unlock()
	q.wakeUp()
}

// sendNews calls Notify for late news if it is due, and reports whether it will be.
func (q *Quarantine) sendNews() bool {
	q.mu.Lock()
	d := q.late && q.other.AllowN(q.Clock.Now(), 1)
	if d {
		q.late = false
	}
	w := q.late
	q.mu.Unlock()
	if d {
		q.Notify()
	}
	return w
}

func (q *Quarantine) wakeUp() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// watch lets Run find out whether a process has ended. Requests that broke off together share
// the end, so that it is found out once for all of them; first is set for the first one.
func (q *Quarantine) watch(k uint64, b backend.Backend, at time.Time) (e *end, first bool) {
	l := q.open[k]
	if n := len(l); n > 0 && l[n-1].at.Sub(at).Abs() <= sharedTime {
		return l[n-1], false
	}
	e = &end{at: at, backend: b}
	q.open[k] = append(l[max(0, len(l)+1-maxOpen):], e)
	q.wakeUp()
	return e, true
}
