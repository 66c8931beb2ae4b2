// Package demo runs a whole small deployment in one process: a platform
// stand-in, hosts in two regions, backend servers and callers that leave often.
package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/answer"
	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/backendstandin"
	"celeryreach.example/celeryreach/change"
	"celeryreach.example/celeryreach/child"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/counter"
	"celeryreach.example/celeryreach/host"
	"celeryreach.example/celeryreach/httplisten"
	"celeryreach.example/celeryreach/platformclient"
	"celeryreach.example/celeryreach/sample"
	"celeryreach.example/celeryreach/settings"
	"celeryreach.example/celeryreach/standin"
	"celeryreach.example/celeryreach/supervisor"
	"celeryreach.example/celeryreach/table"
)

const (
	backendWork     = 20 * time.Millisecond
	backendCold     = 2 * time.Second
	platformTimeout = 2 * time.Second
	startWait       = 10 * time.Second
	drain           = 5 * time.Second
)

// Demo is a deployment on loopback.
type Demo struct {
	// Clock is the clock of all parts.
	Clock clockwork.Clock
	// Log receives the events of all parts.
	Log *log.Logger
	// Out receives what the demo tells its user.
	Out io.Writer

	children []child.Child
	hosts    []settings.Settings
	platform *platformclient.Platformclient
	config   config.Config
	keys     map[string]string
	operator string
}

// Run works until ctx ends and prints a summary.
func (d *Demo) Run(ctx context.Context) error {
	if err := d.build(ctx); err != nil {
		return err
	}
	s := &supervisor.Supervisor{Clock: d.Clock, Log: d.Log, Backoff: time.Second, Children: d.children}
	x, f := context.WithCancel(context.WithoutCancel(ctx))
	defer f()
	e := make(chan error, 1)
	go func() { e <- s.Run(x) }()
	c := &counter.Counter{Prefix: "Demo"}
	err := d.serve(ctx, c)
	f()
	if r := <-e; err == nil {
		err = r
	}
	d.summary(c)
	return err
}

func (d *Demo) serve(ctx context.Context, c *counter.Counter) error {
	if err := d.accept(ctx); err != nil {
		return err
	}
	if err := d.ready(ctx); err != nil {
		return err
	}
	d.greet()
	p := &sample.Sample{Clock: d.Clock, LookupURL: "http://" + d.hosts[0].CallerAddress + "/lookup", Keys: d.keys, Counter: c, Seed: 1}
	return p.Run(ctx)
}

func (d *Demo) build(ctx context.Context) error {
	if err := d.buildPlatform(ctx); err != nil {
		return err
	}
	b, err := d.buildBackends(ctx)
	if err != nil {
		return err
	}
	d.config, d.keys, d.operator = newConfig(b)
	for _, n := range domains {
		if err := d.buildHost(ctx, n.Name, n.Region); err != nil {
			return err
		}
	}
	return nil
}

func (d *Demo) buildPlatform(ctx context.Context) error {
	l, err := listen(ctx)
	if err != nil {
		return errors.Wrap(err, "platform stand-in")
	}
	h := &standin.Standin{Clock: d.Clock, Table: new(table.Table)}
	d.platform = &platformclient.Platformclient{URL: "http://" + l.Addr().String(), Timeout: platformTimeout}
	d.add("platform", l, h)
	return nil
}

func (d *Demo) buildHost(ctx context.Context, domain, region string) error {
	s := settings.Default()
	s.Name = domain + "-a"
	s.Domain = domain
	s.Region = region
	for _, a := range []*string{&s.CallerAddress, &s.PeerAddress, &s.OperatorAddress} {
		v, err := loopback(ctx)
		if err != nil {
			return errors.Wrap(err, "free port")
		}
		*a = v
	}
	s.DrainTimeout = drain
	d.hosts = append(d.hosts, s)
	h := &host.Host{
		Settings: s, Platform: d.platform.Platform(), Clock: d.Clock, Log: d.Log.With("On", s.Name),
		Incarnation: rand.Uint64(), Counter: &counter.Counter{Prefix: "Requests." + s.Name + "."},
	}
	d.children = append(d.children, child.Child{Name: s.Name, Run: h.Run})
	return nil
}

func (d *Demo) buildBackends(ctx context.Context) ([]backend.Backend, error) {
	var r []backend.Backend
	for _, n := range domains {
		for _, s := range services {
			for i := range backendsPerService {
				l, err := listen(ctx)
				if err != nil {
					return nil, errors.Wrap(err, "backend stand-in")
				}
				b := backend.Backend{
					Name: fmt.Sprintf("%s-%s-%d", s.Name, n.Name, i+1), Domain: n.Name, Service: s.Name,
					Address: l.Addr().String(), Slots: slotsPerBackend, Connections: connectionsPerBackend,
				}
				r = append(r, b)
				d.add(b.Name, l, &backendstandin.Backendstandin{Clock: d.Clock, Name: b.Name, Slots: b.Slots, Work: backendWork, ColdFor: backendCold})
			}
		}
	}
	return r, nil
}

func (d *Demo) add(name string, l net.Listener, h http.Handler) {
	s := &httplisten.Httplisten{Listener: l, Handler: h, DrainTimeout: drain}
	d.children = append(d.children, child.Child{Name: name, Run: s.Run})
}

// accept makes the demo's configuration the accepted one.
func (d *Demo) accept(ctx context.Context) error {
	c := &change.Change{Platform: d.platform.Platform()}
	_, ok, err := c.Commit(ctx, 0, d.config)
	if err != nil {
		return err
	}
	if !ok {
		return errors.New("the platform stand-in already has a configuration")
	}
	return nil
}

// ready waits until every host has the configuration and has heard the others.
func (d *Demo) ready(ctx context.Context) error {
	x, f := context.WithTimeout(ctx, startWait)
	defer f()
	for _, s := range d.hosts {
		for !d.serves(x, s) {
			select {
			case <-x.Done():
				return errors.Errorf("host %s did not start in %s", s.Name, startWait)
			case <-d.Clock.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

func (d *Demo) serves(ctx context.Context, s settings.Settings) bool {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.CallerAddress+"/lookup", nil)
	if err != nil {
		return false
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	var a answer.Answer
	err = codec.Unmarshal(b, &a)
	return err == nil && a.ConfigVersion > 0 && len(a.EntryHosts) == d.inRegion(s.Region)
}

// inRegion returns how many hosts a caller of a region is told of.
func (d *Demo) inRegion(region string) int {
	n := 0
	for _, s := range d.hosts {
		if s.Region == region {
			n++
		}
	}
	return n
}

func (d *Demo) greet() {
	a := d.hosts[0].CallerAddress
	k := d.keys[accounts[0].Name]
	fmt.Fprintf(d.Out, "look-up:   curl 'http://%s/lookup?account=%s&service=Listings&region=lagos'\n", a, accounts[0].Name)
	fmt.Fprintf(d.Out, "request:   curl -H 'Authorization: Bearer %s' http://%s/listings/1\n", k, a)
	fmt.Fprintf(d.Out, "operator:  curl -H 'Authorization: Bearer %s' http://%s/status\n", d.operator, d.hosts[0].OperatorAddress)
}

func (d *Demo) summary(c *counter.Counter) {
	t := c.Totals()
	n := make([]string, 0, len(t))
	for k := range t {
		n = append(n, k)
	}
	sort.Strings(n)
	fmt.Fprintln(d.Out, "summary:")
	for _, k := range n {
		fmt.Fprintf(d.Out, "  %s %d\n", k, t[k])
	}
}
