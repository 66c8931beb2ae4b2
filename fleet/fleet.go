// Package fleet runs a whole deployment in one process on loopback: the
// platform stand-in, hosts, and backend stand-ins, with links that can be cut
// and hosts that can be stopped. The demo and the scenarios of whole
// deployments are built on it.
package fleet

import (
	"context"
	"crypto/x509"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/backendstandin"
	"celeryreach.example/celeryreach/change"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/platformclient"
	"celeryreach.example/celeryreach/reservation"
	"celeryreach.example/celeryreach/settings"
	"celeryreach.example/celeryreach/standin"
)

// PlatformPlace is the name of the platform's place for Cut.
const PlatformPlace = "platform"

const (
	platformTimeout = 2 * time.Second
	startTimeout    = 20 * time.Second
	pollEvery       = 10 * time.Millisecond
	drainTimeout    = 5 * time.Second
)

// Fleet is a deployment on loopback. The exported fields are set before Start,
// but for Platform, Keys and Operator, which Start sets.
type Fleet struct {
	// Clock is the clock of all parts. Sockets are real, so it has to run.
	Clock clockwork.Clock
	// Log receives the events of all parts.
	Log *log.Logger
	// Config is the first configuration. Start adds backend servers, keys and
	// an operator.
	Config config.Config
	// Unconfigured leaves the platform without a configuration.
	Unconfigured bool
	// HostsPerDomain is the number of hosts in each failure domain.
	HostsPerDomain int
	// BackendsPerService is the number of backend servers of each service in
	// each failure domain.
	BackendsPerService int
	// Slots is how many requests a backend server runs at once.
	Slots int
	// Work is how long a request takes on a warm backend server.
	Work time.Duration
	// Cold is how long after its first request a backend server is cold.
	Cold time.Duration
	// Adjust changes the settings of a host before it starts; it may be nil.
	Adjust func(s *settings.Settings)

	// Roots are the certificate authorities that Status and Send trust, when
	// Adjust makes hosts use TLS.
	Roots *x509.CertPool

	// Platform is the platform stand-in.
	Platform *standin.Standin
	// PlatformURL is the base URL of the platform stand-in.
	PlatformURL string
	// Keys holds a key of each client account.
	Keys map[string]string
	// Operator is an operator's key.
	Operator string

	network  network
	platform *platformclient.Platformclient
	hosts    []*site
	reserved []*reservation.Reservation // the ports of the hosts
	backends []*server
	parts    []*part
}

// Start starts all parts and returns when every host has the configuration and
// hears every other host. What was started runs until Stop, also after an
// error.
func (f *Fleet) Start(ctx context.Context) error {
	x, c := context.WithTimeout(ctx, startTimeout)
	defer c()
	if err := f.startPlatform(x); err != nil {
		return err
	}
	if err := f.startBackends(x); err != nil {
		return err
	}
	f.credentials()
	for _, d := range f.Config.Domains {
		for i := range f.HostsPerDomain {
			if err := f.addHost(x, d.Name, i); err != nil {
				return err
			}
		}
	}
	if !f.Unconfigured {
		if err := f.accept(x); err != nil {
			return err
		}
	}
	for _, h := range f.hosts {
		f.startHost(h)
	}
	if f.Unconfigured {
		return nil
	}
	return f.Ready(x)
}

// Stop ends all parts, the hosts first, and returns when they have ended.
func (f *Fleet) Stop() error {
	var r error
	for _, h := range f.hosts {
		h.part.cancel()
	}
	for _, h := range f.hosts {
		r = first(r, h.part.wait())
	}
	for i := len(f.parts) - 1; i >= 0; i-- {
		f.parts[i].cancel()
		r = first(r, f.parts[i].wait())
	}
	f.platform.Close()
	f.network.close()
	for _, v := range f.reserved {
		v.Release()
	}
	return r
}

// Await polls until the condition holds or ctx ends. Sockets give no event to
// wait for, and a fixed sleep would be too short on a busy machine.
func (f *Fleet) Await(ctx context.Context, what string, condition func() bool) error {
	for !condition() {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "waiting for %s", what)
		case <-f.Clock.After(pollEvery):
		}
	}
	return nil
}

// Ready waits until every running host serves callers and hears that every
// other running host does.
func (f *Fleet) Ready(ctx context.Context) error {
	return f.Await(ctx, "all hosts to hear each other", func() bool {
		n := f.Running()
		for _, h := range n {
			s, err := f.Status(ctx, h)
			if err != nil || s.ConfigVersion == 0 || s.Host.Starting || serving(s.Peers) != len(n)-1 {
				return false
			}
		}
		return true
	})
}

// Cut separates two places: a host, a failure domain, a region, the platform,
// or "*" for all. Open connections go silent for good, and new ones fail until
// Heal.
func (f *Fleet) Cut(a, b string) {
	f.network.cut(a, b)
}

// Heal ends the cut of the same two places. New connections work again.
func (f *Fleet) Heal(a, b string) {
	f.network.heal(a, b)
}

// Runs returns how often each id was run, over all backend servers.
func (f *Fleet) Runs() map[string]int {
	r := make(map[string]int)
	for _, b := range f.backends {
		for k, v := range b.handler.Runs() {
			r[k] += v
		}
	}
	return r
}

// Backend returns a backend stand-in by name, nil if there is none.
func (f *Fleet) Backend(name string) *backendstandin.Backendstandin {
	for _, b := range f.backends {
		if b.handler.Name == name {
			return b.handler
		}
	}
	return nil
}

// accept makes the configuration the accepted one.
func (f *Fleet) accept(ctx context.Context) error {
	c := &change.Change{Platform: f.platform.Platform()}
	_, ok, err := c.Commit(ctx, 0, f.Config)
	if err != nil {
		return err
	}
	if !ok {
		return errors.New("the platform stand-in already has a configuration")
	}
	return nil
}

func serving(m []member.Member) int {
	n := 0
	for _, v := range m {
		if !v.Starting {
			n++
		}
	}
	return n
}

func first(a, b error) error {
	if a != nil {
		return a
	}
	return b
}
