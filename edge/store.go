package edge

import (
	"time"

	"celeryreach.example/celeryreach/freshness"
	"celeryreach.example/celeryreach/mirror"
	"celeryreach.example/celeryreach/rendezvous"
)

const (
	// settle is left of Contact for the call that follows a doubt: from the
	// farthest region, of a slow store.
	settle = 800 * time.Millisecond
	// replyParts is the part of Contact that a call may take which does not wait.
	// One that fell silent just before the store's return, the pause and the next
	// call then end within Contact.
	replyParts = 3
	// beatMargin is what a heartbeat may come later than its interval says.
	beatMargin = 200 * time.Millisecond
	// leastWatch bounds how often a region's watcher asks.
	leastWatch = 500 * time.Millisecond
)

// watchStore lets all hosts together notice that the store has fallen silent. Each
// host's calls wait for seconds, since calls are paid for, and a call that was open
// when the store fell silent may never be answered. One host of each region asks
// often and tells the others by its heartbeats that the store answers. When no host
// has had an answer for too long, all ask again at once.
func (e *Edge) watchStore() {
	e.store = &freshness.Freshness{Clock: e.Clock}
	t := e.Contact - settle
	for _, m := range []*mirror.Mirror{e.Config, e.Backends} {
		m.Store, m.Trust, m.Reply = e.store, t, e.Contact/replyParts
	}
	long := e.Config.Wait
	short := max(t-beatEvery-beatMargin, leastWatch)
	e.Config.Wait = func() time.Duration {
		if e.watcher() {
			return min(short, long())
		}
		return long()
	}
}

// watcher reports whether this host is the one of its region that asks the store
// often. While hosts disagree on who is alive there may be two, or none: then each
// asks for itself.
func (e *Edge) watcher() bool {
	l := []string{e.Self.Name}
	for _, m := range e.membership.Alive() {
		if m.Region == e.Self.Region && !m.Leaving {
			l = append(l, m.Name)
		}
	}
	return rendezvous.Rank(e.Self.Region, e.Self.Name, l) == 0
}
