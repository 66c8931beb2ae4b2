package quarantine

import (
	"slices"
	"time"

	"celeryreach.example/celeryreach/wire"
)

const (
	// maxRecent, maxOld and maxCleared limit the requests that a heartbeat lists.
	maxRecent  = 8
	maxOld     = 2
	maxCleared = 4
	// maxMerged limits the requests that are taken from a heartbeat.
	maxMerged = 64
	// reportTime is how long after an end the heartbeats of hosts that saw it or pass it on report a
	// suspect. Full heartbeats of all hosts report those that are quarantined, and for oldTime those
	// with more than one end, in turn, to hosts that start or were cut off.
	reportTime = 2 * time.Second
	oldTime    = 10 * time.Second
	// clearedTime is how long it is reported that a request was cleared.
	clearedTime = 5 * time.Second
)

// Report returns what other hosts should know, for heartbeats: first the requests under which
// most processes ended.
func (q *Quarantine) Report(full bool) []*wire.SuspectRequest {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := q.Clock.Now()
	var l, o []*wire.SuspectRequest
	for _, f := range q.suspects.Keys() {
		s, ok := q.suspects.Peek(f)
		if !ok {
			continue
		}
		c, p := q.count(f, s, n)
		switch a := n.Sub(s.lastAt()); {
		case c+p > 0 && s.tells && a <= reportTime:
			l = append(l, s.message(f, n))
		case full && c+p > 1 && (a <= oldTime || s.until.After(n)):
			o = append(o, s.message(f, n))
		}
	}
	slices.SortStableFunc(l, func(a, b *wire.SuspectRequest) int { return len(b.GetEnds()) - len(a.GetEnds()) })
	l = l[:min(len(l), maxRecent)]
	for i := range min(len(o), maxOld) { // each second others, to all peers
		l = append(l, o[(int(n.Unix()%int64(len(o)))*maxOld+i)%len(o)])
	}
	m := len(l) + maxCleared
	for _, f := range q.cleared.Keys() {
		if t, _ := q.cleared.Peek(f); n.Sub(t) <= clearedTime && len(l) < m {
			l = append(l, &wire.SuspectRequest{Fingerprint: []byte(f), ClearedNanoseconds: int64(n.Sub(t)) + 1})
		}
	}
	return l
}

// lastAt returns when the last process ended that did, or may have.
func (s *suspect) lastAt() time.Time {
	var t time.Time
	for _, e := range s.ends {
		if e.at.After(t) {
			t = e.at
		}
	}
	return t
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

// Merge adds what another host reported. What is new is passed on if passOn is set.
func (q *Quarantine) Merge(from string, l []*wire.SuspectRequest, passOn bool) {
	if len(l) == 0 {
		return
	}
	q.mu.Lock()
	n := q.Clock.Now()
	c := noNews
	for _, m := range l[:min(len(l), maxMerged)] {
		f := string(m.GetFingerprint())
		if m.GetClearedNanoseconds() > 0 {
			c = max(c, q.mergeCleared(f, n.Add(-time.Duration(m.GetClearedNanoseconds()))))
		}
		for _, e := range m.GetEnds()[:min(len(m.GetEnds()), 2*maxEnds)] {
			if v := q.mergeEnd(f, e, n); v != noNews {
				c = max(c, v)
				q.suspect(f).tells = q.suspect(f).tells || passOn
			}
		}
		if q.mergeAnswers(from, f, m) {
			c = otherNews
		}
	}
	q.mu.Unlock()
	if passOn {
		q.tell(c)
	}
}

// mergeCleared removes what ended under a request before it was cleared.
func (q *Quarantine) mergeCleared(f string, at time.Time) news {
	if t, ok := q.cleared.Peek(f); ok && at.Sub(t) < time.Second {
		return noNews // the same, told again
	}
	s, ok := q.suspects.Peek(f)
	if !ok {
		return noNews
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
	return otherNews
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

// mergeEnd adds the end of a process under a request. That it is confirmed is no news: each host judges it.
func (q *Quarantine) mergeEnd(f string, m *wire.ProcessEnd, now time.Time) news {
	t := now.Add(-time.Duration(m.GetEndedNanoseconds()))
	d := rememberTime
	if !m.GetConfirmed() {
		d = pendingTime
	}
	if c, ok := q.cleared.Peek(f); ok && !t.After(c) || f == "" || now.Sub(t) > d {
		return noNews
	}
	s := q.suspect(f)
	e := s.ends[m.GetProcess()]
	switch {
	case e == nil:
		b, ok := q.listed[m.GetProcess()]
		e = &end{at: t, confirmed: m.GetConfirmed(), backend: b}
		// The host that saw the end may have lost its own paths, so each host judges it.
		if ok && !m.GetConfirmed() {
			e, _ = q.watch(m.GetProcess(), b, t)
		}
		s.addEnd(m.GetProcess(), e)
		return s.news()
	case m.GetConfirmed():
		e.confirmed = true
	}
	return noNews
}
