// Package quotaexperiment measures how well limits are kept and which requests are
// refused, for the divisions that hosts use and for two simpler methods, under
// the same load and the same faults.
package quotaexperiment

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"text/tabwriter"
	"time"
)

// Quotaexperiment runs every scenario for every method and deployment.
type Quotaexperiment struct {
	// Out receives the table.
	Out io.Writer
	// Seed makes a run repeatable.
	Seed uint64
	// Short limits each scenario to maxShortLength, for tests.
	Short bool
	// Methods and Scenarios select the division methods and scenarios to run by
	// name; empty means all.
	Methods   []string
	Scenarios []string
	// Holders are the numbers of hosts for which the control traffic is
	// measured.
	Holders []int
}

// Run prints one line for each run.
func (e *Quotaexperiment) Run() error {
	w := tabwriter.NewWriter(e.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "User\tScenario\tWay\tRequests\tWrongful\tMinuteAfter\tWorst\tOver\tMessages/s\tStore/s\t")
	for _, d := range deployments {
		for _, s := range scenarios {
			for _, v := range divisionMethods {
				if !selected(e.Scenarios, s.name) || !selected(e.Methods, v.name) {
					continue
				}
				r := e.run(d, s, v)
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.3f%%\t%.3f%%\t%.1f%%\t%d\t%.1f\t%.1f\t\n",
					d.name, s.name, v.name, r.offered, r.wrongfulPercent(), r.minuteAfterPercent(), r.worstPercent(), r.overLimit, r.messages, r.storeOperations)
			}
		}
	}
	if err := w.Flush(); err != nil || len(e.Holders) == 0 {
		return err
	}
	return e.printScaling()
}

func selected(l []string, name string) bool {
	return len(l) == 0 || slices.Contains(l, name)
}

// printScaling prints the cost of control traffic by the number of hosts.
func (e *Quotaexperiment) printScaling() error {
	w := tabwriter.NewWriter(e.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nHolders\tMessages/s\tPerHost\tStore/s\tRowBytes\t")
	for _, n := range e.Holders {
		d := deployments[0]
		d.perRegion = [3]int{n - 2*(n/3), n / 3, n / 3}
		d.heartbeat = time.Second
		p := newTrial(e.Seed, d, divisionMethods[0])
		p.simulation.Run(scalingWarmUp)
		m, s := p.simulation.Messages, p.operations()
		p.simulation.Run(scalingLength)
		t := scalingLength.Seconds()
		v := float64(p.simulation.Messages-m) / t
		fmt.Fprintf(w, "%d\t%.0f\t%.1f\t%.1f\t%d\t\n", n, v, v/float64(n), float64(p.operations()-s)/t, p.rowBytes())
	}
	return w.Flush()
}

func (e *Quotaexperiment) run(d deployment, s scenario, v divisionMethod) result {
	p := newTrial(e.Seed, d, v)
	x := s.length
	if e.Short {
		x = min(x, maxShortLength)
	}
	p.simulation.Run(warmUp)
	p.begin(s.firstAccountFactor)
	m, o := p.simulation.Messages, p.operations()
	p.simulation.Run(x / 8)
	p.faultAt = p.simulation.Now()
	s.fault(p)
	p.simulation.Run(x * 5 / 8)
	s.repair(p)
	p.simulation.Run(x / 4)
	p.end()
	p.result.messages = float64(p.simulation.Messages-m) / x.Seconds()
	p.result.storeOperations = float64(p.operations()-o) / x.Seconds()
	return p.result
}

const (
	warmUp         = 30 * time.Second
	maxShortLength = 80 * time.Second
	scalingWarmUp  = 12 * time.Second
	scalingLength  = 10 * time.Second
)

// scenario is a load with one fault. The fault lasts five eighths of the
// length.
type scenario struct {
	name               string
	length             time.Duration
	firstAccountFactor float64
	fault              func(p *trial)
	repair             func(p *trial)
}

var scenarios = []scenario{
	{name: "ordinary", length: 4 * time.Minute, firstAccountFactor: 1, fault: noChange, repair: noChange},
	{name: "one-at-5x", length: 4 * time.Minute, firstAccountFactor: 5, fault: noChange, repair: noChange},
	{name: "host-lost", length: 4 * time.Minute, firstAccountFactor: 1, fault: func(p *trial) { p.kill(0) }, repair: func(p *trial) { p.replace(0) }},
	{name: "region-lost", length: 4 * time.Minute, firstAccountFactor: 1, fault: func(p *trial) { p.killRegion(2) }, repair: noChange},
	{name: "store-out-10m", length: 16 * time.Minute, firstAccountFactor: 1, fault: func(p *trial) { p.storeDown = true }, repair: func(p *trial) { p.storeDown = false }},
	{name: "partition-5m", length: 8 * time.Minute, firstAccountFactor: 1, fault: func(p *trial) { p.partitioned = true }, repair: func(p *trial) { p.partitioned = false }},
}

func noChange(*trial) {}

// deployment is the size and the load of one user's deployment.
type deployment struct {
	name             string
	regions          [3]string
	perRegion        [3]int
	crossRegionDelay time.Duration
	heartbeat        time.Duration
	rates            []float64
}

var deployments = []deployment{
	{
		name: "Association", regions: [3]string{"lagos", "abuja", "port-harcourt"}, perRegion: [3]int{4, 4, 3},
		crossRegionDelay: 55 * time.Millisecond, heartbeat: 200 * time.Millisecond,
		rates: []float64{160, 120, 60, 40, 40, 20, 20, 20},
	},
	{
		name: "Collective", regions: [3]string{"bagmati", "gandaki", "koshi"}, perRegion: [3]int{3, 3, 2},
		crossRegionDelay: 20 * time.Millisecond, heartbeat: 200 * time.Millisecond,
		rates: []float64{100, 80, 40, 40, 20, 20, 20, 20},
	},
}

// random returns a separate source for each use, so that a method that draws
// more numbers does not change the load of the next one.
func random(seed, use uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, use))
}
