package host

import (
	"net"
	"time"

	"celeryreach.example/celeryreach/child"
	"celeryreach.example/celeryreach/httplisten"
	"celeryreach.example/celeryreach/supervisor"
)

const (
	restartBackoff = time.Second
	maxBackoff     = 30 * time.Second
	// answerTimeout is how long an address waits for its last answers, after
	// the requests in flight have been waited for.
	answerTimeout = time.Second
)

// assemble makes the supervisor tree. Each branch depends only on those above
// it, and ends before them: callers are served until nothing is in flight,
// while limits, peers and configuration still work.
func (h *Host) assemble(c, p, o net.Listener) *supervisor.Supervisor {
	x := h.parts()
	x.peerserver.Listener = p
	return h.supervise(
		h.branch("limits", x.limits.children(x)...),
		h.branch("domain", x.site.children(x)...),
		h.branch("configuration",
			child.Child{Name: "connections", Run: x.connections},
			child.Child{Name: "announce", Run: x.announce},
			child.Child{Name: "follower", Run: x.follower.Run},
			child.Child{Name: "history", Run: x.remember},
		),
		h.branch("counts",
			child.Child{Name: "kept counts", Run: x.keep.Run},
			child.Child{Name: "burn", Run: x.burn.Run},
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
			child.Child{Name: "steering", Run: x.look},
			child.Child{Name: "readiness", Run: x.becomeReady},
		),
		h.branch("serving",
			child.Child{Name: "operator", Run: (&httplisten.Httplisten{Listener: o, Handler: x.operators(), DrainTimeout: answerTimeout}).Run},
			child.Child{Name: "records", Run: x.requests.idempotency.Run},
			child.Child{Name: "expiry", Run: x.requests.expiry.Run},
			child.Child{Name: "callers", Run: (&httplisten.Httplisten{
				Listener: c, Handler: x.callers(), Leave: x.leave, DrainTimeout: answerTimeout,
			}).Run},
		),
	)
}

func (h *Host) supervise(c ...child.Child) *supervisor.Supervisor {
	return &supervisor.Supervisor{Clock: h.Clock, Log: h.Log, Backoff: restartBackoff, MaxBackoff: maxBackoff, Children: c}
}

// branch is a supervisor of its own below another one.
func (h *Host) branch(name string, c ...child.Child) child.Child {
	return child.Child{Name: name, Run: h.supervise(c...).Run}
}
