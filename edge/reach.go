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
	e.forwardHosts = &forwardhosts.Forwardhosts{Clock: e.Clock, Hosts: e.membership.Alive}
	e.reachability = &reachability.Reachability{
		Clock: e.Clock, Log: e.Log, CountHosts: e.forwardHosts.Count, OnChange: func(backend.Backend, bool) {},
	}
	e.Upstream.OnDial = e.reachability.ObserveDial
}

// setBackends passes the usable backend servers to the parts that keep state for each.
func (e *Edge) setBackends(l []backend.Backend, cold func(name string) time.Time) {
	e.reachability.Set(l)
	e.placement.Set(l, cold)
}

// reportReachability adds the backend servers that this host can't reach to a heartbeat.
func (e *Edge) reportReachability(h *wire.Heartbeat) {
	l, n, a := e.reachability.Lost()
	h.UnreachableBackends, h.UnreachableCount, h.UnreachableOf = l, uint32(n), uint32(a) //nolint:gosec // counts of backend servers
}
