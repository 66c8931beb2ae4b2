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
	"celeryreach.example/celeryreach/answer"
	"celeryreach.example/celeryreach/block"
	"celeryreach.example/celeryreach/blockpublish"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/domain"
	"celeryreach.example/celeryreach/fleet"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/platformclient"
	"celeryreach.example/celeryreach/preset"
	"celeryreach.example/celeryreach/region"
	"celeryreach.example/celeryreach/service"
	"celeryreach.example/celeryreach/settings"
	"celeryreach.example/celeryreach/staleness"
)

// deploy starts three whole hosts in as many failure domains.
func deploy(t *testing.T) (context.Context, *fleet.Fleet) {
	t.Helper()
	ctx, c := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(c)
	p := preset.Preset{Name: "Ordinary", ShiftCap: 0.1, ShiftInterval: time.Second, GrowthCap: 0.5, FloorFraction: 0.5, MaxWait: time.Second, LookupTTL: time.Second}
	f := &fleet.Fleet{
		Clock: clockwork.NewRealClock(), Log: log.New(io.Discard), HostsPerDomain: 1, BackendsPerService: 1, Slots: 4,
		Adjust: func(s *settings.Settings) {
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

// apply makes a change through a host.
func apply(ctx context.Context, t *testing.T, f *fleet.Fleet, host string, from uint64, c *config.Config) {
	t.Helper()
	b, err := codec.Marshal(c)
	must.NoError(t, err)
	u := "http://" + f.Settings(host).OperatorAddress + "/config?from=" + strconv.FormatUint(from, 10)
	q, err := http.NewRequestWithContext(ctx, http.MethodPut, u, bytes.NewReader(b))
	must.NoError(t, err)
	q.Header.Set("Authorization", "Bearer "+f.Operator)
	r, err := http.DefaultClient.Do(q)
	must.NoError(t, err)
	must.NoError(t, r.Body.Close())
	must.EqOp(t, http.StatusOK, r.StatusCode)
}

// A caller keeps a connection to each host open and sends requests on it. Its
// key is withdrawn through one host; on every host the next requests on the
// same connections are refused, since each request shows its key and the new
// version is relayed as soon as it is accepted.
func TestWithdrawnKeyOnOpenConnections(t *testing.T) {
	ctx, f := deploy(t)
	c := &http.Client{Transport: new(http.Transport)}
	defer c.CloseIdleConnections()
	ask := func(host string) int {
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
		must.NoError(t, f.Await(ctx, h, func() bool { return ask(h) == http.StatusOK }))
	}
	n := f.Config
	n.Keys = nil
	apply(ctx, t, f, "abuja-1-a", 1, &n)
	for _, h := range f.Hosts() {
		must.NoError(t, f.Await(ctx, h, func() bool { return ask(h) == http.StatusUnauthorized }))
	}
	must.NoError(t, f.Await(ctx, "the report", func() bool {
		s, err := f.Status(ctx, "lagos-1-a")
		return err == nil && s.InForce.Version == 2 && len(s.InForce.Hosts) == len(f.Hosts())
	}))
}

// An operator switches the preset and lowers an account's rate to one request a
// second in one change, while callers send. Every host names the new preset and
// refuses the account's next requests as over its rate.
func TestPresetAndRateChangeEverywhere(t *testing.T) {
	ctx, f := deploy(t)
	n := f.Config
	p := n.Presets[0]
	p.Name = "Peak"
	n.Presets = append([]preset.Preset{p}, n.Presets...)
	n.Preset = "Peak"
	n.Accounts = []account.Account{{Name: "unity", Rate: 1, Burst: 1}}
	apply(ctx, t, f, "lagos-2-a", 1, &n)
	for _, h := range f.Hosts() {
		must.NoError(t, f.Await(ctx, h, func() bool {
			s, err := f.Status(ctx, h)
			c, _, e := f.Send(ctx, h, "unity", http.MethodGet, "/pages/1", "")
			return err == nil && e == nil && s.Preset == "Peak" && c == http.StatusTooManyRequests
		}))
	}
}

// Client blocks are put on the platform, and one is moved. Look-ups on every
// host answer by them within seconds, though two hosts only read the list.
func TestBlocksReachAllHosts(t *testing.T) {
	ctx, f := deploy(t)
	p := &platformclient.Platformclient{URL: f.PlatformURL, Timeout: time.Second}
	defer p.Close()
	u := &blockpublish.Blockpublish{Clock: clockwork.NewRealClock(), Platform: p.Platform()}
	n := netip.MustParsePrefix("10.0.0.0/8")
	for _, r := range []string{"abuja", "lagos"} {
		_, err := u.Change(ctx, []block.Block{{Prefix: n, Region: r}}, nil)
		must.NoError(t, err)
		for _, h := range f.Hosts() {
			must.NoError(t, f.Await(ctx, h, func() bool { return steered(ctx, f, h) == r }))
		}
	}
}

// steered returns the region that a host answers for a caller at 10.0.0.1.
func steered(ctx context.Context, f *fleet.Fleet, host string) string {
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
	var a answer.Answer
	if err != nil || codec.Unmarshal(b, &a) != nil {
		return ""
	}
	return a.Region
}

// A failure domain is cut off from all others and from the platform. Its
// caller's non-idempotent requests are refused first, then all, each as not
// run and with the reason; after healing it is served again. The other domains
// serve all the time, and say which host and domain they do not hear.
func TestCutOffDomainStopsTrustingKeys(t *testing.T) {
	ctx, f := deploy(t)
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
	must.NoError(t, f.Await(ctx, "an answer", served(h)))
	for _, p := range []string{"lagos", fleet.PlatformPlace} {
		f.Cut("abuja", p)
	}
	must.NoError(t, f.Await(ctx, "KeyStale for a POST", refused(http.MethodPost, "1")))
	must.NoError(t, f.Await(ctx, "KeyStale for a GET", refused(http.MethodGet, "")))
	must.NoError(t, f.Await(ctx, "an answer elsewhere", served("lagos-1-a")))
	must.NoError(t, f.Await(ctx, "the report", func() bool {
		s, err := f.Status(ctx, "lagos-1-a")
		return err == nil && len(s.InForce.Silent) == 1 && len(s.InForce.SilentDomains) == 1 && s.InForce.SilentDomains[0] == "abuja-1"
	}))
	for _, p := range []string{"lagos", fleet.PlatformPlace} {
		f.Heal("abuja", p)
	}
	must.NoError(t, f.Await(ctx, "an answer after healing", served(h)))
}
