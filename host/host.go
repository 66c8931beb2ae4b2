// Package host assembles the components of one host and runs them under a
// supervisor.
package host

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/certreloader"
	"celeryreach.example/celeryreach/counter"
	"celeryreach.example/celeryreach/settings"
	"celeryreach.example/celeryreach/store"
)

const (
	announceInterval = 3 * time.Second
	dialTimeout      = time.Second
)

// Host is one running process of this program, which serves callers, peers and
// operators.
type Host struct {
	// Settings identify the host and configure its addresses and timeouts.
	Settings settings.Settings
	// Store is the store of the users' platform, which holds the state that
	// hosts share.
	Store store.Store
	// Clock is the time source of all components.
	Clock clockwork.Clock
	// Log receives the host's events.
	Log *log.Logger
	// Incarnation is a random number that identifies the process. Each start of
	// the host uses a new one.
	Incarnation uint64
	// Dial opens connections to other hosts. Nil means plain TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Listen opens the listeners of the host. Nil means plain TCP.
	Listen func(ctx context.Context, address string) (net.Listener, error)
	// Counter counts requests by outcome.
	Counter *counter.Counter

	peerCerts  *certreloader.Certreloader
	unfinished atomic.Int64
}

// Run serves until ctx ends, then waits for requests in flight to finish, for at
// most DrainTimeout. It returns an error if requests are still in flight after
// DrainTimeout.
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
	l := &listeners{callers: c, peers: p, operators: o}
	if err := h.addTLS(l); err != nil {
		return err
	}
	h.Log.Info("host starts", "Host", h.Settings.Name, "Domain", h.Settings.Domain, "Incarnation", h.Incarnation)
	s := h.assemble(l)
	err = s.Run(ctx)
	n := h.unfinished.Load()
	h.Log.Info("host ended", "Host", h.Settings.Name, "Cut", n)
	if err == nil && n > 0 {
		return errors.Errorf("%d requests were still in flight after the drain timeout of %s", n, h.Settings.DrainTimeout)
	}
	return err
}

func listen(ctx context.Context, a string) (net.Listener, error) {
	var c net.ListenConfig
	return c.Listen(ctx, "tcp", a)
}
