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
	"celeryreach.example/celeryreach/certreloader"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/domain"
	"celeryreach.example/celeryreach/fleet"
	"celeryreach.example/celeryreach/peerclient"
	"celeryreach.example/celeryreach/preset"
	"celeryreach.example/celeryreach/region"
	"celeryreach.example/celeryreach/service"
	"celeryreach.example/celeryreach/settings"
	"celeryreach.example/celeryreach/staleness"
	"celeryreach.example/celeryreach/testca"
	"celeryreach.example/celeryreach/wire"
)

func newFleet(t *testing.T, set ...func(f *fleet.Fleet)) (context.Context, *fleet.Fleet) {
	t.Helper()
	// The goleak check is registered first because cleanups run in reverse order
	// and the check has to run after Stop.
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

func requestSucceeds(ctx context.Context, f *fleet.Fleet, host string) func() bool {
	return func() bool {
		c, _, err := f.Send(ctx, host, "acme", http.MethodGet, "/pages/1", "")
		return err == nil && c == http.StatusOK
	}
}

// While two failure domains are partitioned, the host of each one must remove the
// other host from its peers and continue to answer its callers. After the
// partition, the hosts must open new connections to each other, because the old
// connections stay blackholed.
func TestPartitionAndHeal(t *testing.T) {
	ctx, f := newFleet(t)
	must.NoError(t, f.Await(ctx, "an answer", requestSucceeds(ctx, f, "n1-a")))
	f.Partition("n1", "s1")
	must.NoError(t, f.Await(ctx, "the host to drop its peer", func() bool {
		s, err := f.Status(ctx, "n1-a")
		return err == nil && len(s.Peers) == 0
	}))
	must.NoError(t, f.Await(ctx, "an answer during the partition", requestSucceeds(ctx, f, "s1-a")))
	f.Heal("n1", "s1")
	must.NoError(t, f.Ready(ctx))
}

// A host crashes and a replacement takes over its name and addresses. Callers
// of the other host are answered throughout, and the replacement counts as
// ready only when it has the configuration and its peer.
func TestKillAndReplace(t *testing.T) {
	ctx, f := newFleet(t)
	f.KillHost("n1-a")
	must.Eq(t, []string{"s1-a"}, f.Running())
	must.NoError(t, f.Await(ctx, "an answer from the other host", requestSucceeds(ctx, f, "s1-a")))
	_, _, err := f.Send(ctx, "n1-a", "acme", http.MethodGet, "/pages/1", "")
	must.Error(t, err)
	f.StartHost("n1-a")
	must.NoError(t, f.Ready(ctx))
	must.NoError(t, f.Await(ctx, "an answer from the replacement", requestSucceeds(ctx, f, "n1-a")))
}

// All three addresses use TLS. Callers and operators are served and the hosts
// receive each other's heartbeats. A client that claims to be a host, over
// plain text or with a certificate of another authority, gets no response and
// is not added to the peers.
func TestTLS(t *testing.T) {
	a, err := testca.New()
	must.NoError(t, err)
	c, err := a.Write(t.TempDir())
	must.NoError(t, err)
	own := c
	own.AuthorityFile = ""
	ctx, f := newFleet(t, func(f *fleet.Fleet) {
		f.Roots = a.Pool()
		f.AdjustSettings = func(s *settings.Settings) {
			s.CallerTLS, s.OperatorTLS, s.PeerTLS = &own, &own, &c
		}
	})
	must.NoError(t, f.Await(ctx, "an answer", requestSucceeds(ctx, f, "n1-a")))
	b, err := testca.New()
	must.NoError(t, err)
	d, err := b.Write(t.TempDir())
	must.NoError(t, err)
	forged := &certreloader.Certreloader{Clock: clockwork.NewRealClock(), Log: log.New(io.Discard), Certificate: d}
	must.NoError(t, forged.Load())
	for _, dial := range []func(context.Context, string) (net.Conn, error){
		func(ctx context.Context, address string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", address)
		},
		func(ctx context.Context, address string) (net.Conn, error) {
			g := forged.ClientConfig("127.0.0.1")
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

// The port of a stopped host stays reserved. Otherwise another program on the
// machine could use it as the local port of an outgoing connection, and the
// host could not start again.
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
