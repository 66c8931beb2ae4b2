// Package configbenchmark measures the time until an accepted configuration is in
// force on every host of a small deployment on the loopback interface.
package configbenchmark

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/domain"
	"celeryreach.example/celeryreach/fleet"
	"celeryreach.example/celeryreach/lookupanswer"
	"celeryreach.example/celeryreach/preset"
	"celeryreach.example/celeryreach/region"
	"celeryreach.example/celeryreach/service"
	"celeryreach.example/celeryreach/staleness"
)

const (
	regions          = 3
	domainsPerRegion = 2
	hostsPerDomain   = 2
)

// Configbenchmark runs a deployment of six failure domains with two hosts each, and
// changes its configuration repeatedly.
type Configbenchmark struct {
	// Clock is the clock of all components.
	Clock clockwork.Clock
	// Log receives the log lines of all components.
	Log *log.Logger
	// Out receives the results.
	Out io.Writer
	// Changes is the number of changes to measure.
	Changes int
	// Accounts is the number of client accounts in the configuration.
	Accounts int

	fleet *fleet.Fleet
}

// Run measures the changes and prints the median and the maximum time.
func (c *Configbenchmark) Run(ctx context.Context) error {
	c.fleet = &fleet.Fleet{Clock: c.Clock, Log: c.Log, Config: c.newConfig(), HostsPerDomain: hostsPerDomain}
	err := c.fleet.Start(ctx)
	if err == nil {
		err = c.measure(ctx)
	}
	if e := c.fleet.Stop(); err == nil {
		err = e
	}
	return err
}

func (c *Configbenchmark) measure(ctx context.Context) error {
	n := c.fleet.Config
	h := c.fleet.Hosts()
	var d, o []time.Duration
	var z int
	for i := range c.Changes {
		v := uint64(i + 1)
		n.Accounts[i%len(n.Accounts)].Rate++
		b, err := codec.Marshal(n)
		if err != nil {
			return err
		}
		z = len(b)
		t := c.Clock.Now()
		if err := c.putConfig(ctx, h[i%len(h)], v, b); err != nil {
			return err
		}
		a := c.Clock.Now()
		if err := c.awaitVersion(ctx, v+1); err != nil {
			return err
		}
		d = append(d, c.Clock.Since(a))
		o = append(o, c.Clock.Since(t))
	}
	slices.Sort(d)
	slices.Sort(o)
	fmt.Fprintf(c.Out, "%d hosts, %d client accounts, %d bytes, %d changes: in force everywhere p50 %s max %s after the operator's answer, p50 %s max %s after the call\n",
		len(h), len(n.Accounts), z, len(d), median(d), maximum(d), median(o), maximum(o))
	return nil
}

func median(d []time.Duration) time.Duration {
	return d[len(d)/2].Round(time.Millisecond)
}

func maximum(d []time.Duration) time.Duration {
	return d[len(d)-1].Round(time.Millisecond)
}

// awaitVersion waits until each host has at least the given version.
func (c *Configbenchmark) awaitVersion(ctx context.Context, version uint64) error {
	for _, h := range c.fleet.Hosts() {
		if err := c.fleet.Await(ctx, h, func() bool { return c.hostVersion(ctx, h) >= version }); err != nil {
			return err
		}
	}
	return nil
}

func (c *Configbenchmark) hostVersion(ctx context.Context, host string) uint64 {
	var a lookupanswer.Lookupanswer
	b, err := c.call(ctx, http.MethodGet, "http://"+c.fleet.Settings(host).CallerAddress+"/lookup", nil)
	if err != nil || codec.Unmarshal(b, &a) != nil {
		return 0
	}
	return a.ConfigVersion
}

func (c *Configbenchmark) putConfig(ctx context.Context, host string, from uint64, b []byte) error {
	_, err := c.call(ctx, http.MethodPut, "http://"+c.fleet.Settings(host).OperatorAddress+"/config?from="+strconv.FormatUint(from, 10), b)
	return err
}

func (c *Configbenchmark) call(ctx context.Context, method, url string, body []byte) ([]byte, error) {
	q, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	q.Header.Set("Authorization", "Bearer "+c.fleet.OperatorKey)
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return nil, err
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if err == nil && r.StatusCode != http.StatusOK {
		err = errors.Errorf("%s %s: %s %s", method, url, r.Status, b)
	}
	return b, err
}

// newConfig returns a configuration with the requested number of accounts.
func (c *Configbenchmark) newConfig() config.Config {
	n := config.Config{
		Preset: "Ordinary",
		Presets: []preset.Preset{{
			Name: "Ordinary", ShiftCap: 0.1, ShiftInterval: 30 * time.Second, Headroom: 0.2, GrowthCap: 0.5,
			FloorFraction: 0.5, MaxWait: time.Second, LookupTTL: 30 * time.Second, RetryBudget: 0.1,
		}},
		Services:     []service.Service{{Name: "Listings", Prefix: "/listings/", Timeout: 2 * time.Second}},
		KeyStaleness: staleness.Staleness{Idempotent: 10 * time.Minute, NonIdempotent: time.Minute},
	}
	for i := range regions {
		r := fmt.Sprintf("region-%d", i)
		n.Regions = append(n.Regions, region.Region{Name: r})
		for j := range domainsPerRegion {
			n.Domains = append(n.Domains, domain.Domain{Name: fmt.Sprintf("%s-%d", r, j), Region: r})
		}
	}
	for i := range max(1, c.Accounts) {
		n.Accounts = append(n.Accounts, account.Account{Name: fmt.Sprintf("account-%d", i), Rate: 10, Burst: 5})
	}
	return n
}
