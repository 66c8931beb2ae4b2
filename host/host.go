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
	"celeryreach.example/celeryreach/counter"
	"celeryreach.example/celeryreach/settings"
	"celeryreach.example/celeryreach/store"
)

const (
	announceEvery = 3 * time.Second
	dialTimeout   = time.Second
)

// Host is one entry host.
type Host struct {
	// Settings say who the host is.
	Settings settings.Settings
	// Platform is the users' platform.
	Platform store.Store
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

func listen(ctx context.Context, a string) (net.Listener, error) {
	var c net.ListenConfig
	return c.Listen(ctx, "tcp", a)
}
