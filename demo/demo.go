// Package demo runs a small complete deployment in one process: a platform
// stand-in, hosts in two regions, backend servers, and callers that often
// cancel their requests.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/callersim"
	"celeryreach.example/celeryreach/counter"
	"celeryreach.example/celeryreach/fleet"
)

const (
	backendWork = 20 * time.Millisecond
	backendCold = 2 * time.Second
)

// Demo is a demo deployment on loopback.
type Demo struct {
	// Clock is the clock of all components.
	Clock clockwork.Clock
	// Log receives the log lines of all components.
	Log *log.Logger
	// Out receives the usage instructions and the summary.
	Out io.Writer
}

// Run runs the deployment until ctx ends and then prints a summary.
func (d *Demo) Run(ctx context.Context) error {
	f := &fleet.Fleet{
		Clock: d.Clock, Log: d.Log, Config: newConfig(), HostsPerDomain: 1, BackendsPerService: backendsPerService,
		Slots: slotsPerBackend, RequestDuration: backendWork, ColdFor: backendCold,
	}
	c := &counter.Counter{Prefix: "Demo."}
	p := &callersim.Callersim{Clock: d.Clock, Counter: c, Seed: 1}
	err := f.Start(ctx)
	if err == nil {
		d.printUsage(f)
		p.LookupURL = "http://" + f.Settings(f.Hosts()[0]).CallerAddress + "/lookup"
		p.Keys = f.Keys
		err = p.Run(ctx)
	}
	if e := f.Stop(); err == nil {
		err = e
	}
	if err == nil {
		err = d.printSummary(p.Sent(), c.Totals())
	}
	return err
}

func (d *Demo) printUsage(f *fleet.Fleet) {
	s := f.Settings(f.Hosts()[0])
	a := accounts[0].Name
	fmt.Fprintf(d.Out, `A deployment runs on loopback: %d hosts in %d regions. Ctrl-C stops it. Try in another terminal:

  callers
    curl 'http://%s/lookup?account=%s&service=Listings&region=lagos'
    curl -H 'Authorization: Bearer %s' http://%s/listings/1
    curl -H 'Authorization: Bearer %s' -H 'Idempotency-Key: 1' -d child=1 http://%s/enrolments/1

  operators
    export CELERYREACH_OPERATOR=http://%s CELERYREACH_OPERATOR_KEY=%s
`, len(f.Hosts()), len(f.Config.Regions), s.CallerAddress, a, f.Keys[a], s.CallerAddress, f.Keys[a], s.CallerAddress, s.OperatorAddress, f.OperatorKey)
	for _, c := range []string{"status", "preset list", "preset use -wait Peak", "key issue " + a, "key list", "config show", "report burn"} {
		fmt.Fprintf(d.Out, "    go run . %s\n", c)
	}
	fmt.Fprintln(d.Out)
}
