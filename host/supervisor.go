package host

import (
	"time"

	"celeryreach.example/celeryreach/child"
	"celeryreach.example/celeryreach/httplisten"
	"celeryreach.example/celeryreach/supervisor"
)

const (
	restartBackoff = time.Second
	maxBackoff     = 30 * time.Second
	// lastResponseTimeout is how long a listener waits for its last responses,
	// after the wait for requests in flight.
	lastResponseTimeout = time.Second
)

// assemble builds the supervisor tree. Each branch depends only on the branches
// before it, and the supervisor stops it before them. The limits, peers and
// configuration thereby keep working until no request of a caller is in flight.
func (h *Host) assemble(l *listeners) *supervisor.Supervisor {
	x := h.newComponents()
	x.peerserver.Listener = l.peers
	return h.newSupervisor(
		h.branch("limits", x.limits.children(x)...),
		h.branch("domain", x.localDomain.children(x)...),
		h.branch("configuration",
			child.Child{Name: "connections", Run: x.closeConnections},
			child.Child{Name: "announce", Run: x.announce},
			child.Child{Name: "follower", Run: x.configFollower.Run},
			child.Child{Name: "history", Run: x.recordHistory},
		),
		h.branch("counts",
			child.Child{Name: "kept counts", Run: x.countStore.Run},
			child.Child{Name: "burn", Run: x.burnCounter.Run},
		),
		h.branch("peers",
			child.Child{Name: "peerserver", Run: x.peerserver.Run},
			child.Child{Name: "membership", Run: x.membership.Run},
			child.Child{Name: "relay", Run: x.steering.relay.Run},
		),
		h.branch("steering",
			child.Child{Name: "plan", Run: x.steering.plans.Replica().Run},
			child.Child{Name: "blocks", Run: x.steering.blocks.Replica().Run},
			child.Child{Name: "lease", Run: x.campaign},
			child.Child{Name: "planner", Run: x.steering.planner.Run},
			child.Child{Name: "steering", Run: x.updateSteering},
			child.Child{Name: "readiness", Run: x.waitUntilReady},
		),
		h.branch("serving",
			child.Child{Name: "operator", Run: (&httplisten.Httplisten{
				Listener: l.operators, TLS: l.operatorTLS, Handler: x.operatorHandler(), DrainTimeout: lastResponseTimeout, Log: h.Log,
			}).Run},
			child.Child{Name: "records", Run: x.requests.idempotency.Run},
			child.Child{Name: "expiry", Run: x.requests.expiry.Run},
			child.Child{Name: "callers", Run: (&httplisten.Httplisten{
				Listener: l.callers, TLS: l.callerTLS, Handler: x.callerHandler(), BeforeShutdown: x.shutDown, IsLeaving: x.leaving.Load, DrainTimeout: lastResponseTimeout,
				Log: h.Log,
			}).Run},
		),
	)
}

func (h *Host) newSupervisor(c ...child.Child) *supervisor.Supervisor {
	return &supervisor.Supervisor{Clock: h.Clock, Log: h.Log, Backoff: restartBackoff, MaxBackoff: maxBackoff, Children: c}
}

// branch returns a child that runs its own supervisor.
func (h *Host) branch(name string, c ...child.Child) child.Child {
	return child.Child{Name: name, Run: h.newSupervisor(c...).Run}
}
