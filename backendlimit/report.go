package backendlimit

import (
	"time"

	"google.golang.org/protobuf/proto"

	"celeryreach.example/celeryreach/wire"
)

// reportFor is how long after a response its limit is reported to other hosts.
const reportFor = 10 * time.Second

// Observations returns the limits that this host itself recently observed, for
// heartbeats. Limits received from other hosts are left out: if passed on, an old
// observation would always seem recent.
func (l *Backendlimit) Observations() []*wire.BackendLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	var r []*wire.BackendLimit
	n := l.Clock.Now()
	l.removeStale(n)
	for k, m := range l.limits {
		if m.own.received.IsZero() || n.Sub(m.own.received) > reportFor {
			continue
		}
		v := &wire.BackendLimit{
			Backend: k.name, Started: k.started,
			AskedNanoseconds: int64(n.Sub(m.own.sent)), AnsweredNanoseconds: int64(n.Sub(m.own.received)),
		}
		if m.own.perSecond < unlimited {
			v.PerSecond = proto.Float64(m.own.perSecond)
		}
		r = append(r, v)
	}
	return r
}

// Merge applies the limits that another host observed.
func (l *Backendlimit) Merge(from string, v []*wire.BackendLimit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.Clock.Now()
	for _, b := range v {
		k := key{name: b.GetBackend(), started: b.GetStarted()}
		m := l.limits[k]
		if m == nil && b.PerSecond == nil || b.PerSecond != nil && !validRate(b.GetPerSecond()) {
			continue
		}
		if m == nil {
			m = l.add(k)
		}
		w := observation{perSecond: unlimited, sent: ago(n, b.GetAskedNanoseconds()), received: ago(n, b.GetAnsweredNanoseconds())}
		if b.PerSecond != nil {
			w.perSecond = b.GetPerSecond()
		}
		l.apply(k.name, m, w, from)
	}
}

func ago(now time.Time, nanoseconds int64) time.Time {
	return now.Add(-time.Duration(max(nanoseconds, 0)))
}
