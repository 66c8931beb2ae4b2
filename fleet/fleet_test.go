package fleet_test

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/certs"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/domain"
	"celeryreach.example/celeryreach/fleet"
	"celeryreach.example/celeryreach/peerclient"
	"celeryreach.example/celeryreach/preset"
	"celeryreach.example/celeryreach/region"
	"celeryreach.example/celeryreach/service"
	"celeryreach.example/celeryreach/settings"
	"celeryreach.example/celeryreach/staleness"
	"celeryreach.example/celeryreach/testcerts"
	"celeryreach.example/celeryreach/wire"
)

func newFleet(t *testing.T, set ...func(f *fleet.Fleet)) (context.Context, *fleet.Fleet) {
	t.Helper()
	// The leak check is registered first, so it runs after Stop.
	t.Cleanup(func() { goleak.VerifyNone(t) })
	ctx, c := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(c)
	f := &fleet.Fleet{
		Clock: clockwork.NewRealClock(), Log: log.New(io.Discard), HostsPerDomain: 1, BackendsPerService: 1, Slots: 4,
		Config: config.Config{
			Preset:       "Ordinary",
			Presets:      []preset.Preset{{Name: "Ordinary", ShiftCap: 0.1, ShiftInterval: time.Second, GrowthCap: 0.5, FloorFraction: 0.5, MaxWait: time.Second, LookupTTL: time.Second}},
			Regions:      []region.Region{{Name: "north"}, {Name: "south"}},
			Domains:      []domain.Domain{{Name: "n1", Region: "north"}, {Name: "s1", Region: "south"}},
			Services:     []service.Service{{Name: "Pages", Prefix: "/pages/", Timeout: 2 * time.Second}},
			Accounts:     []account.Account{{Name: "acme", Rate: 10000, Burst: 1000}},
			KeyStaleness: staleness.Staleness{Idempotent: time.Minute, NonIdempotent: time.Minute},
		},
	}
	for _, s := range set {
		s(f)
	}
	t.Cleanup(func() { must.NoError(t, f.Stop()) })
	must.NoError(t, f.Start(ctx))
	return ctx, f
}

func answered(ctx context.Context, f *fleet.Fleet, host string) func() bool {
	return func() bool {
		c, _, err := f.Send(ctx, host, "acme", http.MethodGet, "/pages/1", "")
		return err == nil && c == http.StatusOK
	}
}

// A caller of either domain gets its answer while the two domains cannot hear
// each other: both hosts drop the other from their peers, keep serving, and
// after the cut they find each other on new connections, since the old ones
// stay silent for good.
func TestCutAndHeal(t *testing.T) {
	ctx, f := newFleet(t)
	must.NoError(t, f.Await(ctx, "an answer", answered(ctx, f, "n1-a")))
	f.Cut("n1", "s1")
	must.NoError(t, f.Await(ctx, "silence", func() bool {
		s, err := f.Status(ctx, "n1-a")
		return err == nil && len(s.Peers) == 0
	}))
	must.NoError(t, f.Await(ctx, "an answer in the cut", answered(ctx, f, "s1-a")))
	f.Heal("n1", "s1")
	must.NoError(t, f.Ready(ctx))
}

// A host dies without a word and a replacement takes its name and addresses:
// callers of the other host are answered all the while, and the replacement
// has the configuration and its peer before it counts as ready.
func TestKillAndReplace(t *testing.T) {
	ctx, f := newFleet(t)
	f.KillHost("n1-a")
	must.Eq(t, []string{"s1-a"}, f.Running())
	must.NoError(t, f.Await(ctx, "an answer elsewhere", answered(ctx, f, "s1-a")))
	_, _, err := f.Send(ctx, "n1-a", "acme", http.MethodGet, "/pages/1", "")
	must.Error(t, err)
	f.StartHost("n1-a")
	must.NoError(t, f.Ready(ctx))
	must.NoError(t, f.Await(ctx, "an answer of the replacement", answered(ctx, f, "n1-a")))
}

// All three addresses use TLS. Callers and operators are served, the hosts hear
// each other, and a stranger who says in plain text or with a certificate of
// its own that it is a host gets no answer and appears in nobody's peers.
func TestTLS(t *testing.T) {
	a, err := testcerts.New()
	must.NoError(t, err)
	c, err := a.Write(t.TempDir())
	must.NoError(t, err)
	own := c
	own.AuthorityFile = ""
	ctx, f := newFleet(t, func(f *fleet.Fleet) {
		f.Roots = a.Pool()
		f.Adjust = func(s *settings.Settings) {
			s.CallerTLS, s.OperatorTLS, s.PeerTLS = &own, &own, &c
		}
	})
	must.NoError(t, f.Await(ctx, "an answer", answered(ctx, f, "n1-a")))
	b, err := testcerts.New()
	must.NoError(t, err)
	d, err := b.Write(t.TempDir())
	must.NoError(t, err)
	forged := &certs.Certs{Clock: clockwork.NewRealClock(), Log: log.New(io.Discard), Certificate: d}
	must.NoError(t, forged.Load())
	for _, dial := range []func(context.Context, string) (net.Conn, error){
		func(ctx context.Context, address string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", address)
		},
		func(ctx context.Context, address string) (net.Conn, error) {
			g := forged.Client("127.0.0.1")
			g.RootCAs = a.Pool()
			return (&tls.Dialer{Config: g}).DialContext(ctx, "tcp", address)
		},
	} {
		p := &peerclient.Peerclient{Dial: dial}
		_, err := p.Beat(ctx, f.Settings("n1-a").PeerAddress, &wire.Heartbeat{Protocol: 1, From: &wire.Host{Name: "stranger"}})
		must.Error(t, err)
		p.Close()
	}
	s, err := f.Status(ctx, "n1-a")
	must.NoError(t, err)
	must.Len(t, 1, s.Peers)
	must.Eq(t, "s1-a", s.Peers[0].Name)
}

// A host is stopped, and another program on the machine opens a connection from the
// port on which the host's callers are served. The port is kept for the host: else
// it could not start again, and its script would wait for it in vain.
func TestPortsOfStoppedHostsAreKept(t *testing.T) {
	ctx, f := newFleet(t)
	a, err := net.ResolveTCPAddr("tcp", f.Settings("n1-a").CallerAddress)
	must.NoError(t, err)
	must.NoError(t, f.StopHost("n1-a"))
	d := net.Dialer{LocalAddr: a}
	c, err := d.DialContext(ctx, "tcp", f.Settings("s1-a").CallerAddress)
	if err == nil {
		must.NoError(t, c.Close())
	}
	must.Error(t, err)
	f.StartHost("n1-a")
	must.NoError(t, f.Ready(ctx))
}
