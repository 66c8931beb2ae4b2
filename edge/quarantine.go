package edge

import (
	"time"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/counter"
	"celeryreach.example/celeryreach/quarantine"
	"celeryreach.example/celeryreach/reachability"
	"celeryreach.example/celeryreach/request"
)

// endConfirmTime is how long no connection to a backend server can be opened, as far as this
// host and the others know, until its process counts as ended. Reports of other hosts count
// somewhat earlier.
const endConfirmTime = 800 * time.Millisecond

// endJudgeTime is how long after that a host judges a process. Later, paths to some backend
// servers may be back before the path to this one.
const endJudgeTime = 2 * time.Second

// endLossTime is how long after a connection broke off no connection can be opened any more, if
// the process has ended then. What happens later has another cause.
const endLossTime = 2 * time.Second

// setUpQuarantine sets up what this host and the others know of requests under which backend
// servers end.
func (e *Edge) setUpQuarantine() {
	c := new(counter.Counter)
	e.quarantine = quarantine.New()
	q := e.quarantine
	q.Clock, q.Log, q.State, q.Notify = e.Clock, e.Log, e.processState, e.membership.SendSoon
	q.Probe = func(b backend.Backend) { e.reachability.Confirm([]uint32{reachability.Hash(b.Name)}) }
	q.OnRefuse = func(final bool) {
		if final {
			c.Add(counterRefused)
		} else {
			c.Add(counterHeld)
		}
	}
}

// processState reports what is known of the process of a backend server, of which a connection
// broke off or nothing was heard since the given time. If only this host can't reach it, its
// link is at fault.
func (e *Edge) processState(b backend.Backend, since time.Time) (ended, alive bool) {
	if !e.discovery.IsListed(b.Name, b.Started) {
		return true, false
	}
	if e.reachability.IsHeardSince(b, since) {
		return false, true
	}
	t, o := e.reachability.SilentSince(b)
	if !t.IsZero() && t.Sub(since) > endLossTime {
		return false, true
	}
	if a := e.Clock.Since(t); !o || a < endConfirmTime || a > endConfirmTime+endJudgeTime {
		return false, false // a host that hears nothing has lost its own paths
	}
	if _, n, a := e.reachability.Lost(); 2*n > a {
		return false, false // a host that has lost most of its paths knows nothing of processes
	}
	// A host that has not tried for some time may report that it reaches the backend server, so
	// that it does proves nothing about the process.
	return !e.forwardHosts.Reach(b, t), false
}

// maySendSuspect reports whether a request is not quarantined.
func (e *Edge) maySendSuspect(r *request.Request) bool {
	ok, _, _ := e.quarantine.Allows(r.Fingerprint)
	return ok
}
