package backendlimit

import (
	"time"

	"google.golang.org/protobuf/proto"

	"celeryreach.example/celeryreach/wire"
)

// tellFor is how long after an answer its word on a limit is told to others.
const tellFor = 10 * time.Second

// Tell returns what backend servers lately told this host itself, for heartbeats. What
// it heard from other hosts is not told: passed on, an old word would seem young for
// ever.
func (l *Backendlimit) Tell() []*wire.BackendLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	var r []*wire.BackendLimit
	n := l.Clock.Now()
	l.forget(n)
	for k, m := range l.limits {
		if m.own.answered.IsZero() || n.Sub(m.own.answered) > tellFor {
			continue
		}
		v := &wire.BackendLimit{
			Backend: k.name, Started: k.started,
			AskedNanoseconds: int64(n.Sub(m.own.asked)), AnsweredNanoseconds: int64(n.Sub(m.own.answered)),
		}
		if m.own.perSecond < none {
			v.PerSecond = proto.Float64(m.own.perSecond)
		}
		r = append(r, v)
	}
	return r
}

// Hear takes what another host was told.
func (l *Backendlimit) Hear(from string, v []*wire.BackendLimit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.Clock.Now()
	for _, b := range v {
		k := key{name: b.GetBackend(), started: b.GetStarted()}
		m := l.limits[k]
		if m == nil && b.PerSecond == nil || b.PerSecond != nil && !valid(b.GetPerSecond()) {
			continue
		}
		if m == nil {
			m = l.add(k)
		}
		w := word{perSecond: none, asked: ago(n, b.GetAskedNanoseconds()), answered: ago(n, b.GetAnsweredNanoseconds())}
		if b.PerSecond != nil {
			w.perSecond = b.GetPerSecond()
		}
		l.take(k.name, m, w, from)
	}
}

func ago(now time.Time, nanoseconds int64) time.Time {
	return now.Add(-time.Duration(max(nanoseconds, 0)))
}
