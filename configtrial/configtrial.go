// Package configtrial measures how long an accepted configuration takes until
// it is in force on every host of a small deployment on loopback.
package configtrial

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/accepted"
	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/answer"
	"celeryreach.example/celeryreach/change"
	"celeryreach.example/celeryreach/child"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/counter"
	"celeryreach.example/celeryreach/credential"
	"celeryreach.example/celeryreach/domain"
	"celeryreach.example/celeryreach/host"
	"celeryreach.example/celeryreach/httplisten"
	"celeryreach.example/celeryreach/platformclient"
	"celeryreach.example/celeryreach/preset"
	"celeryreach.example/celeryreach/region"
	"celeryreach.example/celeryreach/service"
	"celeryreach.example/celeryreach/settings"
	"celeryreach.example/celeryreach/staleness"
	"celeryreach.example/celeryreach/standin"
	"celeryreach.example/celeryreach/supervisor"
	"celeryreach.example/celeryreach/table"
)

const (
	regions   = 3
	perRegion = 2
	look      = 2 * time.Millisecond
	patience  = 20 * time.Second
	maxOctet  = 250
)

// Configtrial runs a platform stand-in and hosts, and makes changes.
type Configtrial struct {
	// Clock is the clock of all parts.
	Clock clockwork.Clock
	// Out receives the figures.
	Out io.Writer
	// Log receives the events of all parts.
	Log *log.Logger
	// Hosts is the number of hosts.
	Hosts int
	// Changes is the number of changes to measure.
	Changes int
	// Accounts is the number of client accounts in the configuration.
	Accounts int

	hosts    []settings.Settings
	children []child.Child
	platform *platformclient.Platformclient
	operator string
	config   config.Config
}

// Run measures and prints p50 and the maximum.
func (c *Configtrial) Run(ctx context.Context) error {
	if err := c.build(ctx); err != nil {
		return err
	}
	s := &supervisor.Supervisor{Clock: c.Clock, Log: c.Log, Backoff: time.Second, Children: c.children}
	x, f := context.WithCancel(context.WithoutCancel(ctx))
	e := make(chan error, 1)
	go func() { e <- s.Run(x) }()
	err := c.measure(ctx)
	f()
	if r := <-e; err == nil {
		err = r
	}
	return err
}

func (c *Configtrial) measure(ctx context.Context) error {
	k := &change.Change{Platform: c.platform.Platform(), Clock: c.Clock}
	if _, ok, err := k.Commit(ctx, 0, c.config); err != nil || !ok {
		return errors.Errorf("first configuration: %v", err)
	}
	if err := c.everywhere(ctx, 1); err != nil {
		return err
	}
	var d, o []time.Duration
	for i := range c.Changes {
		v := uint64(i + 1)
		c.config.Accounts[i%len(c.config.Accounts)].Rate++
		t := c.Clock.Now()
		if err := c.put(ctx, c.hosts[i%len(c.hosts)], v); err != nil {
			return err
		}
		a := c.Clock.Now()
		if err := c.everywhere(ctx, v+1); err != nil {
			return err
		}
		d = append(d, c.Clock.Since(a))
		o = append(o, c.Clock.Since(t))
	}
	slices.Sort(d)
	slices.Sort(o)
	b, err := codec.Marshal(c.config)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.Out, "%d hosts, %d client accounts, %d bytes, %d changes: in force everywhere p50 %s max %s after the operator's answer, p50 %s max %s after the call\n",
		len(c.hosts), c.Accounts, len(b), len(d), middle(d), last(d), middle(o), last(o))
	return nil
}

func middle(d []time.Duration) time.Duration {
	return d[len(d)/2].Round(time.Millisecond)
}

func last(d []time.Duration) time.Duration {
	return d[len(d)-1].Round(time.Millisecond)
}

// everywhere waits until each host has a version.
func (c *Configtrial) everywhere(ctx context.Context, version uint64) error {
	t := c.Clock.Now()
	for _, s := range c.hosts {
		for c.version(ctx, s) < version {
			if c.Clock.Since(t) > patience || ctx.Err() != nil {
				return errors.Errorf("version %d is not in force on %s after %s", version, s.Name, patience)
			}
			c.Clock.Sleep(look)
		}
	}
	return nil
}

func (c *Configtrial) version(ctx context.Context, s settings.Settings) uint64 {
	var a answer.Answer
	if err := c.call(ctx, http.MethodGet, "http://"+s.CallerAddress+"/lookup", nil, &a); err != nil {
		return 0
	}
	return a.ConfigVersion
}

func (c *Configtrial) put(ctx context.Context, s settings.Settings, from uint64) error {
	b, err := codec.Marshal(c.config)
	if err != nil {
		return err
	}
	var a accepted.Accepted
	return c.call(ctx, http.MethodPut, "http://"+s.OperatorAddress+"/config?from="+strconv.FormatUint(from, 10), b, &a)
}

func (c *Configtrial) call(ctx context.Context, method, url string, body []byte, out any) error {
	q, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	q.Header.Set("Authorization", "Bearer "+c.operator)
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	if r.StatusCode != http.StatusOK {
		return errors.Errorf("%s %s: %s %s", method, url, r.Status, b)
	}
	return codec.Unmarshal(b, out)
}

func (c *Configtrial) build(ctx context.Context) error {
	c.operator = rand.Text()
	c.describe()
	l, err := listen(ctx, 0)
	if err != nil {
		return err
	}
	h := &standin.Standin{Clock: c.Clock, Table: new(table.Table)}
	c.platform = &platformclient.Platformclient{URL: "http://" + l.Addr().String(), Timeout: patience}
	c.children = append(c.children, child.Child{Name: "platform", Run: (&httplisten.Httplisten{Listener: l, Handler: h, DrainTimeout: time.Second}).Run})
	for i := range c.Hosts {
		if err := c.buildHost(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func (c *Configtrial) buildHost(ctx context.Context, i int) error {
	d := c.config.Domains[i%len(c.config.Domains)]
	s := settings.Default()
	s.Name = fmt.Sprintf("%s-%d", d.Name, i/len(c.config.Domains))
	s.Domain = d.Name
	s.Region = d.Region
	s.DrainTimeout = time.Second
	for _, a := range []*string{&s.CallerAddress, &s.PeerAddress, &s.OperatorAddress} {
		l, err := listen(ctx, i+1)
		if err != nil {
			return err
		}
		*a = l.Addr().String()
		_ = l.Close()
	}
	c.hosts = append(c.hosts, s)
	h := &host.Host{
		Settings: s, Platform: c.platform.Platform(), Clock: c.Clock, Log: c.Log.With("On", s.Name),
		Incarnation: mathrand.Uint64(), Counter: &counter.Counter{Prefix: s.Name},
	}
	c.children = append(c.children, child.Child{Name: s.Name, Run: h.Run})
	return nil
}

// describe makes a configuration with as many accounts as asked for, each with
// one key.
func (c *Configtrial) describe() {
	c.config = config.Config{
		Preset: "Ordinary", Operators: []credential.Credential{{ID: "operator", Hash: credential.Hash(c.operator)}},
		Presets: []preset.Preset{{
			Name: "Ordinary", ShiftCap: 0.1, ShiftInterval: 30 * time.Second, Headroom: 0.2, GrowthCap: 0.5,
			FloorFraction: 0.5, MaxWait: time.Second, LookupTTL: 30 * time.Second, RetryBudget: 0.1,
		}},
		Services:     []service.Service{{Name: "Listings", Prefix: "/listings/", Timeout: 2 * time.Second}},
		KeyStaleness: staleness.Staleness{Idempotent: 10 * time.Minute, NonIdempotent: time.Minute},
	}
	for i := range regions {
		r := fmt.Sprintf("region-%d", i)
		c.config.Regions = append(c.config.Regions, region.Region{Name: r})
		for j := range perRegion {
			c.config.Domains = append(c.config.Domains, domain.Domain{Name: fmt.Sprintf("%s-%d", r, j), Region: r})
		}
	}
	for i := range max(1, c.Accounts) {
		n := fmt.Sprintf("account-%d", i)
		c.config.Accounts = append(c.config.Accounts, account.Account{Name: n, Rate: 10, Burst: 5})
		c.config.Keys = append(c.config.Keys, credential.Credential{ID: "key-" + n, Account: n, Hash: credential.Hash(n)})
	}
}

// listen takes a free port of a loopback address of its own: connections that
// the hosts open come from 127.0.0.1, and none can take a port that a host was
// told to listen on.
func listen(ctx context.Context, i int) (net.Listener, error) {
	var c net.ListenConfig
	return c.Listen(ctx, "tcp", fmt.Sprintf("127.0.%d.%d:0", 1+i/maxOctet, 1+i%maxOctet))
}
