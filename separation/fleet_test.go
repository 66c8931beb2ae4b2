package separation_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/block"
	"celeryreach.example/celeryreach/blockpublish"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/domain"
	"celeryreach.example/celeryreach/fleet"
	"celeryreach.example/celeryreach/lookupanswer"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/platformclient"
	"celeryreach.example/celeryreach/preset"
	"celeryreach.example/celeryreach/region"
	"celeryreach.example/celeryreach/service"
	"celeryreach.example/celeryreach/settings"
	"celeryreach.example/celeryreach/staleness"
)

// startFleet starts three hosts with all their components, each in its own failure
// domain.
func startFleet(t *testing.T) (context.Context, *fleet.Fleet) {
	t.Helper()
	ctx, c := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(c)
	p := preset.Preset{Name: "Ordinary", ShiftCap: 0.1, ShiftInterval: time.Second, GrowthCap: 0.5, FloorFraction: 0.5, MaxWait: time.Second, LookupTTL: time.Second}
	f := &fleet.Fleet{
		Clock: clockwork.NewRealClock(), Log: log.New(io.Discard), HostsPerDomain: 1, BackendsPerService: 1, Slots: 4,
		AdjustSettings: func(s *settings.Settings) {
			s.Heartbeat = 50 * time.Millisecond
			s.Hold = 500 * time.Millisecond
		},
		Config: config.Config{
			Preset: "Ordinary", Presets: []preset.Preset{p},
			Regions:      []region.Region{{Name: "lagos"}, {Name: "abuja"}},
			Domains:      []domain.Domain{{Name: "lagos-1", Region: "lagos"}, {Name: "lagos-2", Region: "lagos"}, {Name: "abuja-1", Region: "abuja"}},
			Services:     []service.Service{{Name: "Pages", Prefix: "/pages/", Timeout: 2 * time.Second}},
			Accounts:     []account.Account{{Name: "unity", Rate: 10000, Burst: 1000}},
			KeyStaleness: staleness.Staleness{Idempotent: 2 * time.Second, NonIdempotent: time.Second},
		},
	}
	t.Cleanup(func() { must.NoError(t, f.Stop()) })
	must.NoError(t, f.Start(ctx))
	return ctx, f
}

// putConfig replaces configuration version from by c through a host's operator API.
func putConfig(ctx context.Context, t *testing.T, f *fleet.Fleet, host string, from uint64, c *config.Config) {
	t.Helper()
	b, err := codec.Marshal(c)
	must.NoError(t, err)
	u := "http://" + f.Settings(host).OperatorAddress + "/config?from=" + strconv.FormatUint(from, 10)
	q, err := http.NewRequestWithContext(ctx, http.MethodPut, u, bytes.NewReader(b))
	must.NoError(t, err)
	q.Header.Set("Authorization", "Bearer "+f.OperatorKey)
	r, err := http.DefaultClient.Do(q)
	must.NoError(t, err)
	must.NoError(t, r.Body.Close())
	must.EqOp(t, http.StatusOK, r.StatusCode)
}

// A caller keeps a connection to each host open and sends requests on it. After its
// key is withdrawn through one host, every host must refuse further requests on the
// open connections: the key is checked on each request, and a new configuration
// version is relayed to all hosts as soon as it is accepted.
func TestWithdrawnKeyOnOpenConnections(t *testing.T) {
	ctx, f := startFleet(t)
	c := &http.Client{Transport: new(http.Transport)}
	defer c.CloseIdleConnections()
	get := func(host string) int {
		q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.Settings(host).CallerAddress+"/pages/1", nil)
		must.NoError(t, err)
		q.Header.Set("Authorization", "Bearer "+f.Keys["unity"])
		r, err := c.Do(q)
		must.NoError(t, err)
		_, err = io.Copy(io.Discard, r.Body)
		must.NoError(t, err)
		must.NoError(t, r.Body.Close())
		return r.StatusCode
	}
	for _, h := range f.Hosts() {
		must.NoError(t, f.Await(ctx, h, func() bool { return get(h) == http.StatusOK }))
	}
	n := f.Config
	n.Keys = nil
	putConfig(ctx, t, f, "abuja-1-a", 1, &n)
	for _, h := range f.Hosts() {
		must.NoError(t, f.Await(ctx, h, func() bool { return get(h) == http.StatusUnauthorized }))
	}
	must.NoError(t, f.Await(ctx, "the version in force on all hosts", func() bool {
		s, err := f.Status(ctx, "lagos-1-a")
		return err == nil && s.InForce.Version == 2 && len(s.InForce.Hosts) == len(f.Hosts())
	}))
}

// An operator switches the preset and lowers an account's rate to one request per
// second in a single change, while callers send requests. Every host must report the
// new preset and refuse the account's requests above the new rate.
func TestPresetAndRateChangeEverywhere(t *testing.T) {
	ctx, f := startFleet(t)
	n := f.Config
	p := n.Presets[0]
	p.Name = "Peak"
	n.Presets = append([]preset.Preset{p}, n.Presets...)
	n.Preset = "Peak"
	n.Accounts = []account.Account{{Name: "unity", Rate: 1, Burst: 1}}
	putConfig(ctx, t, f, "lagos-2-a", 1, &n)
	for _, h := range f.Hosts() {
		must.NoError(t, f.Await(ctx, h, func() bool {
			s, err := f.Status(ctx, h)
			c, _, e := f.Send(ctx, h, "unity", http.MethodGet, "/pages/1", "")
			return err == nil && e == nil && s.Preset == "Peak" && c == http.StatusTooManyRequests
		}))
	}
}

// A client block is published on the platform and then assigned to another region.
// Look-ups on every host must use the new assignment within seconds, although at most
// two hosts of each failure domain read the list of blocks often.
func TestBlocksReachAllHosts(t *testing.T) {
	ctx, f := startFleet(t)
	p := &platformclient.Platformclient{URL: f.PlatformURL, Timeout: time.Second}
	defer p.Close()
	u := &blockpublish.Blockpublish{Clock: clockwork.NewRealClock(), Store: p.Store()}
	n := netip.MustParsePrefix("10.0.0.0/8")
	for _, r := range []string{"abuja", "lagos"} {
		_, err := u.Change(ctx, []block.Block{{Prefix: n, Region: r}}, nil)
		must.NoError(t, err)
		for _, h := range f.Hosts() {
			must.NoError(t, f.Await(ctx, h, func() bool { return lookupRegion(ctx, f, h) == r }))
		}
	}
}

// lookupRegion returns the region that a host's look-up assigns to a caller at
// 10.0.0.1, or an empty string if the look-up fails.
func lookupRegion(ctx context.Context, f *fleet.Fleet, host string) string {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.Settings(host).CallerAddress+"/lookup?address=10.0.0.1", nil)
	if err != nil {
		return ""
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return ""
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	var a lookupanswer.Lookupanswer
	if err != nil || codec.Unmarshal(b, &a) != nil {
		return ""
	}
	return a.Region
}

// A failure domain is isolated from all others and from the platform. The isolated host
// must refuse non-idempotent requests first and all requests later, each time as not run
// and with outcome KeyStale. After the partition ends, this host must serve requests
// again. The other failure domains must continue to serve requests, and their status must
// list the isolated host and its failure domain as silent.
func TestIsolatedDomainRefusesStaleKeys(t *testing.T) {
	ctx, f := startFleet(t)
	const h = "abuja-1-a"
	refused := func(method, id string) func() bool {
		return func() bool {
			c, a, err := f.Send(ctx, h, "unity", method, "/pages/1", id)
			return err == nil && c == http.StatusServiceUnavailable && strings.Contains(a, outcome.KeyStale)
		}
	}
	served := func(host string) func() bool {
		return func() bool {
			c, _, err := f.Send(ctx, host, "unity", http.MethodGet, "/pages/1", "")
			return err == nil && c == http.StatusOK
		}
	}
	must.NoError(t, f.Await(ctx, "an OK response", served(h)))
	for _, p := range []string{"lagos", fleet.PlatformLabel} {
		f.Partition("abuja", p)
	}
	must.NoError(t, f.Await(ctx, "KeyStale for a POST", refused(http.MethodPost, "1")))
	must.NoError(t, f.Await(ctx, "KeyStale for a GET", refused(http.MethodGet, "")))
	must.NoError(t, f.Await(ctx, "an OK response in another failure domain", served("lagos-1-a")))
	must.NoError(t, f.Await(ctx, "the report of silent hosts", func() bool {
		s, err := f.Status(ctx, "lagos-1-a")
		return err == nil && len(s.InForce.Silent) == 1 && len(s.InForce.SilentDomains) == 1 && s.InForce.SilentDomains[0] == "abuja-1"
	}))
	for _, p := range []string{"lagos", fleet.PlatformLabel} {
		f.Heal("abuja", p)
	}
	must.NoError(t, f.Await(ctx, "an OK response after the partition", served(h)))
}
