package edge

import (
	"time"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/forwardhosts"
	"celeryreach.example/celeryreach/reachability"
	"celeryreach.example/celeryreach/wire"
)

// setUpReachability sets up what this host and the others know of their paths to backend
// servers.
func (e *Edge) setUpReachability() {
	e.reachability = reachability.New()
	e.forwardHosts = &forwardhosts.Forwardhosts{Clock: e.Clock, Region: e.Self.Region, Hosts: e.membership.Alive, Confirm: e.reachability.Confirm}
	r := e.reachability
	r.Clock, r.Log, r.Probe, r.CountHosts = e.Clock, e.Log, e.Upstream.Probe, e.forwardHosts.Count
	r.OnReached, r.Notify = e.restoreBackend, e.membership.SendSoon
	e.Upstream.MayDial, e.Upstream.OnDial = r.MayDial, r.ObserveDial
}

// restoreBackend ends what this host assumed of a backend server that it reaches again.
func (e *Edge) restoreBackend(b backend.Backend, lostAt time.Time) {
	e.placement.Restore(b, e.forwardHosts.Reach(b, lostAt))
}

// setBackends passes the usable backend servers to the parts that keep state for each.
func (e *Edge) setBackends(l []backend.Backend, cold func(name string) time.Time) {
	e.reachability.Set(l)
	e.quarantine.Set(l)
	e.placement.Set(l, cold)
}

// reportReachability adds the backend servers that this host can't reach to a heartbeat,
// and whether it takes forwarded requests.
func (e *Edge) reportReachability(h *wire.Heartbeat) {
	l, n, a := e.reachability.Lost()
	h.UnreachableBackends, h.UnreachableCount, h.UnreachableOf = l, uint32(n), uint32(a) //nolint:gosec // counts of backend servers
	h.SendsForOthers = e.IsReady()
}
