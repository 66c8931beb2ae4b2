// Package host puts the parts of one entry host together and runs them under
// a supervisor.
package host

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/certs"
	"celeryreach.example/celeryreach/child"
	"celeryreach.example/celeryreach/counter"
	"celeryreach.example/celeryreach/httplisten"
	"celeryreach.example/celeryreach/platform"
	"celeryreach.example/celeryreach/settings"
	"celeryreach.example/celeryreach/supervisor"
)

const (
	restartBackoff = time.Second
	maxBackoff     = 30 * time.Second
	announceEvery  = 3 * time.Second
	dialTimeout    = time.Second
)

// Host is one entry host.
type Host struct {
	// Settings say who the host is.
	Settings settings.Settings
	// Platform is the users' platform.
	Platform platform.Platform
	// Clock is the host's clock.
	Clock clockwork.Clock
	// Log receives the host's events.
	Log *log.Logger
	// Incarnation is drawn anew for each process.
	Incarnation uint64
	// Dial opens connections to other hosts; nil means plain TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Listen opens the listeners of the host; nil means plain TCP.
	Listen func(ctx context.Context, address string) (net.Listener, error)
	// Counter counts how requests ended.
	Counter *counter.Counter

	peers *certs.Certs
	cut   atomic.Int64
}

// Run serves until ctx ends, and then lets the requests in flight finish.
func (h *Host) Run(ctx context.Context) error {
	if h.Dial == nil {
		h.Dial = dial
	}
	if h.Listen == nil {
		h.Listen = listen
	}
	c, err := h.Listen(ctx, h.Settings.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "CallerAddress")
	}
	defer c.Close()
	p, err := h.Listen(ctx, h.Settings.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "PeerAddress")
	}
	defer p.Close()
	o, err := h.Listen(ctx, h.Settings.OperatorAddress)
	if err != nil {
		return errors.Wrap(err, "OperatorAddress")
	}
	defer o.Close()
	c, p, o, err = h.secure(c, p, o)
	if err != nil {
		return err
	}
	h.Log.Info("host starts", "Host", h.Settings.Name, "Domain", h.Settings.Domain, "Incarnation", h.Incarnation)
	s := h.assemble(c, p, o)
	err = s.Run(ctx)
	n := h.cut.Load()
	h.Log.Info("host ended", "Host", h.Settings.Name, "Cut", n)
	if err == nil && n > 0 {
		return errors.Errorf("%d requests were cut after %s", n, h.Settings.DrainTimeout)
	}
	return err
}

func (h *Host) assemble(c, p, o net.Listener) *supervisor.Supervisor {
	x := h.parts()
	x.peerserver.Listener = p
	r := &supervisor.Supervisor{
		Clock:      h.Clock,
		Log:        h.Log,
		Backoff:    restartBackoff,
		MaxBackoff: maxBackoff,
		Children: []child.Child{
			{Name: "connections", Run: x.connections},
			{Name: "announce", Run: x.announce},
			{Name: "follower", Run: x.follower.Run},
			{Name: "history", Run: x.remember},
			{Name: "kept counts", Run: x.keep.Run},
			{Name: "burn", Run: x.burn.Run},
			{Name: "peerserver", Run: x.peerserver.Run},
			{Name: "membership", Run: x.membership.Run},
			{Name: "relay", Run: x.steering.relay.Run},
			{Name: "plan", Run: x.steering.plans.Replica().Run},
			{Name: "lease", Run: x.campaign},
			{Name: "planner", Run: x.steering.planner.Run},
			{Name: "steering", Run: x.look},
			{Name: "readiness", Run: x.becomeReady},
			{Name: "operator", Run: (&httplisten.Httplisten{Listener: o, Handler: x.operators(), DrainTimeout: time.Second}).Run},
			{Name: "records", Run: x.requests.idempotency.Run},
			{Name: "callers", Run: (&httplisten.Httplisten{Listener: c, Handler: x.callers(), Leave: x.leave, DrainTimeout: time.Second}).Run},
		},
	}
	r.Children = append(append(x.limits.children(x), x.site.children(x)...), r.Children...)
	return r
}

func listen(ctx context.Context, a string) (net.Listener, error) {
	var c net.ListenConfig
	return c.Listen(ctx, "tcp", a)
}
