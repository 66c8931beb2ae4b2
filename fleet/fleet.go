// Package fleet runs a complete deployment on loopback in one process: the
// platform stand-in, hosts and backend stand-ins. Network partitions can be
// simulated and hosts can be stopped. The demo, the stress test and the
// scenario tests use it.
package fleet

import (
	"context"
	"crypto/x509"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/backendstandin"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/configcommit"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/platformclient"
	"celeryreach.example/celeryreach/platformstandin"
	"celeryreach.example/celeryreach/reservation"
	"celeryreach.example/celeryreach/settings"
)

// PlatformLabel is the label of the platform in calls of Partition and Heal.
const PlatformLabel = "platform"

const (
	platformTimeout = 2 * time.Second
	startTimeout    = 20 * time.Second
	pollInterval    = 10 * time.Millisecond
	drainTimeout    = 5 * time.Second
)

// Fleet is a deployment on loopback. The exported fields are set before Start,
// except Platform, PlatformURL, Keys and OperatorKey, which Start sets.
type Fleet struct {
	// Clock is the clock of all components. It must advance in real time
	// because the components communicate through real sockets.
	Clock clockwork.Clock
	// Log receives the log lines of all components.
	Log *log.Logger
	// Config is the first configuration. Start adds backend servers, keys and
	// an operator to it.
	Config config.Config
	// Unconfigured starts the deployment without a configuration in the
	// platform.
	Unconfigured bool
	// HostsPerDomain is the number of hosts in each failure domain.
	HostsPerDomain int
	// BackendsPerService is the number of backend servers of each service in
	// each failure domain.
	BackendsPerService int
	// Slots is how many requests a backend server runs concurrently.
	Slots int
	// RequestDuration is how long a request takes on a warm backend server.
	RequestDuration time.Duration
	// ColdFor is how long a backend server stays cold after its first request.
	ColdFor time.Duration
	// AdjustSettings changes the settings of a host before it starts. It may be nil.
	AdjustSettings func(s *settings.Settings)

	// Roots are the certificate authorities that Status and Send trust if
	// AdjustSettings configures TLS on the hosts.
	Roots *x509.CertPool

	// Platform is the platform stand-in.
	Platform *platformstandin.Platformstandin
	// PlatformURL is the base URL of the platform stand-in.
	PlatformURL string
	// Keys holds one key for each client account, by account name.
	Keys map[string]string
	// OperatorKey is an operator's key.
	OperatorKey string

	network       network
	platform      *platformclient.Platformclient
	hosts         []*managedHost
	reservedPorts []*reservation.Reservation // hold the ports of all hosts
	backends      []*backendServer
	tasks         []*task
}

// Start starts all components and returns when every host has the configuration
// and receives heartbeats from every other host. Components run until Stop,
// even if Start returns an error. If Unconfigured is set, Start returns as soon
// as the hosts are started.
func (f *Fleet) Start(ctx context.Context) error {
	x, c := context.WithTimeout(ctx, startTimeout)
	defer c()
	if err := f.startPlatform(x); err != nil {
		return err
	}
	if err := f.startBackends(x); err != nil {
		return err
	}
	f.addCredentials()
	for _, d := range f.Config.Domains {
		for i := range f.HostsPerDomain {
			if err := f.addHost(x, d.Name, i); err != nil {
				return err
			}
		}
	}
	if !f.Unconfigured {
		if err := f.commitConfig(x); err != nil {
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

// Stop stops all components, the hosts first, and waits until they have ended.
func (f *Fleet) Stop() error {
	var r error
	for _, h := range f.hosts {
		h.task.cancel()
	}
	for _, h := range f.hosts {
		r = firstError(r, h.task.wait())
	}
	for i := len(f.tasks) - 1; i >= 0; i-- {
		f.tasks[i].cancel()
		r = firstError(r, f.tasks[i].wait())
	}
	f.platform.Close()
	f.network.close()
	for _, v := range f.reservedPorts {
		v.Release()
	}
	return r
}

// Await polls until the condition holds or ctx ends. Polling is necessary because
// sockets emit no event for such conditions, and a fixed sleep would be too short
// on a busy machine.
func (f *Fleet) Await(ctx context.Context, what string, condition func() bool) error {
	for !condition() {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "waiting for %s", what)
		case <-f.Clock.After(pollInterval):
		}
	}
	return nil
}

// Ready waits until every running host has a configuration, serves callers and
// lists every other running host as a serving peer.
func (f *Fleet) Ready(ctx context.Context) error {
	return f.Await(ctx, "all hosts to see each other as serving peers", func() bool {
		n := f.Running()
		for _, h := range n {
			s, err := f.Status(ctx, h)
			if err != nil || s.ConfigVersion == 0 || s.Host.Starting || countServing(s.Peers) != len(n)-1 {
				return false
			}
		}
		return true
	})
}

// Partition simulates a network partition between two labels, each the name of a
// host, a failure domain, a region or the platform, or "*" for everything. Open
// connections between them are blackholed permanently, and new ones time out
// until Heal is called.
func (f *Fleet) Partition(a, b string) {
	f.network.partition(a, b)
}

// Heal ends the partition between two labels, in either order. New connections
// work again; blackholed connections do not recover.
func (f *Fleet) Heal(a, b string) {
	f.network.heal(a, b)
}

// RunCounts returns how often each request id was run, summed over all backend
// servers.
func (f *Fleet) RunCounts() map[string]int {
	r := make(map[string]int)
	for _, b := range f.backends {
		for k, v := range b.handler.RunCounts() {
			r[k] += v
		}
	}
	return r
}

// Backend returns the backend stand-in with the given name, or nil if there is
// none.
func (f *Fleet) Backend(name string) *backendstandin.Backendstandin {
	for _, b := range f.backends {
		if b.handler.Name == name {
			return b.handler
		}
	}
	return nil
}

// commitConfig writes the configuration to the platform as its first version.
func (f *Fleet) commitConfig(ctx context.Context) error {
	c := &configcommit.Configcommit{Store: f.platform.Store()}
	_, ok, err := c.Commit(ctx, 0, f.Config)
	if err != nil {
		return err
	}
	if !ok {
		return errors.New("the platform stand-in already has a configuration")
	}
	return nil
}

func countServing(m []member.Member) int {
	n := 0
	for _, v := range m {
		if !v.Starting {
			n++
		}
	}
	return n
}

func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}
