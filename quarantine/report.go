package quarantine

import (
	"slices"
	"time"

	"celeryreach.example/celeryreach/wire"
)

const (
	// maxReported limits the requests that a heartbeat lists.
	maxReported = 32
	// reportTime is how long after an end all heartbeats report a suspect. Later, those with more
	// than one end are reported by full heartbeats, to hosts that start or were cut off.
	reportTime = 2 * time.Second
	// clearedTime is how long it is reported that a request was cleared.
	clearedTime = 5 * time.Second
)

// Report returns what other hosts should know, for heartbeats: first the requests under which
// most processes ended.
func (q *Quarantine) Report(full bool) []*wire.SuspectRequest {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := q.Clock.Now()
	var l []*wire.SuspectRequest
	for _, f := range q.suspects.Keys() {
		s, ok := q.suspects.Peek(f)
		if !ok {
			continue
		}
		c, p := q.count(f, s, n)
		if c+p > 1 && full || c+p > 0 && s.isRecent(n) {
			l = append(l, s.message(f, n))
		}
	}
	slices.SortStableFunc(l, func(a, b *wire.SuspectRequest) int { return len(b.GetEnds()) - len(a.GetEnds()) })
	l = l[:min(len(l), maxReported)]
	for _, f := range q.cleared.Keys() {
		if t, _ := q.cleared.Peek(f); n.Sub(t) <= clearedTime && len(l) < 2*maxReported {
			l = append(l, &wire.SuspectRequest{Fingerprint: []byte(f), ClearedNanoseconds: int64(n.Sub(t)) + 1})
		}
	}
	return l
}

// isRecent reports whether a process ended within reportTime.
func (s *suspect) isRecent(now time.Time) bool {
	for _, e := range s.ends {
		if now.Sub(e.at) <= reportTime {
			return true
		}
	}
	return false
}

func (s *suspect) message(f string, now time.Time) *wire.SuspectRequest {
	m := &wire.SuspectRequest{Fingerprint: []byte(f), Answers: uint32(s.answers)} //nolint:gosec // a small number
	for k, e := range s.ends {
		if e.confirmed || now.Sub(e.at) <= pendingTime {
			m.Ends = append(m.Ends, &wire.ProcessEnd{Process: k, EndedNanoseconds: int64(now.Sub(e.at)), Confirmed: e.confirmed})
		}
	}
	return m
}

// Merge adds what another host reported. What is new is passed on at once if passOn is set.
func (q *Quarantine) Merge(from string, l []*wire.SuspectRequest, passOn bool) {
	if len(l) == 0 {
		return
	}
	q.mu.Lock()
	n := q.Clock.Now()
	c := false
	for _, m := range l[:min(len(l), 2*maxReported)] {
		f := string(m.GetFingerprint())
		if m.GetClearedNanoseconds() > 0 {
			c = q.mergeCleared(f, n.Add(-time.Duration(m.GetClearedNanoseconds()))) || c
		}
		for _, e := range m.GetEnds()[:min(len(m.GetEnds()), 2*maxEnds)] {
			c = q.mergeEnd(f, e, n) || c
		}
		c = q.mergeAnswers(from, f, m) || c
	}
	q.mu.Unlock()
	if c && passOn {
		q.tell()
	}
}

// mergeCleared removes what ended under a request before it was cleared, and reports whether
// that is new.
func (q *Quarantine) mergeCleared(f string, at time.Time) bool {
	if t, ok := q.cleared.Peek(f); ok && at.Sub(t) < time.Second {
		return false // the same, told again
	}
	s, ok := q.suspects.Peek(f)
	if !ok {
		return false
	}
	for k, e := range s.ends {
		if !e.at.After(at) {
			delete(s.ends, k)
		}
	}
	if len(s.ends) == 0 {
		q.suspects.Remove(f)
	}
	q.cleared.Add(f, at)
	return true
}

// mergeAnswers adds the answers that another host has had, and reports whether they clear the
// request. A host that knows of fewer ends may have had them before the last one.
func (q *Quarantine) mergeAnswers(from, f string, m *wire.SuspectRequest) bool {
	s, ok := q.suspects.Peek(f)
	if !ok || len(m.GetEnds()) < len(s.ends) || m.GetAnswers() == 0 {
		return false
	}
	s.others[from] = int(m.GetAnswers())
	return q.clear(f, s)
}

// mergeEnd adds the end of a process under a request, and reports whether it is new.
func (q *Quarantine) mergeEnd(f string, m *wire.ProcessEnd, now time.Time) bool {
	t := now.Add(-time.Duration(m.GetEndedNanoseconds()))
	d := rememberTime
	if !m.GetConfirmed() {
		d = pendingTime
	}
	if c, ok := q.cleared.Peek(f); ok && !t.After(c) || f == "" || now.Sub(t) > d {
		return false
	}
	s := q.suspect(f)
	e := s.ends[m.GetProcess()]
	switch {
	case e == nil:
		b, ok := q.listed[m.GetProcess()]
		e = &end{at: t, confirmed: m.GetConfirmed(), backend: b}
		// The host that saw the end may have lost its own paths, and one that has not tried to
		// reach the process for some time would contradict those that can't.
		if ok && !m.GetConfirmed() {
			e = q.watch(m.GetProcess(), b, t)
		}
		s.addEnd(m.GetProcess(), e)
		return true
	case m.GetConfirmed() && !e.confirmed:
		e.confirmed = true
		return true
	}
	return false
}
