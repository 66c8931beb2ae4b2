// Package experiment measures how limits hold and whom they refuse, for the
// divisions that hosts use and for two simpler ways, under the same load and
// the same faults.
package experiment

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"text/tabwriter"
	"time"
)

// Experiment runs every scenario for every way and user.
type Experiment struct {
	// Out receives the table.
	Out io.Writer
	// Seed makes a run repeatable.
	Seed uint64
	// Short runs a tenth of the time, for tests.
	Short bool
	// Ways and Scenarios name what to run; empty means all.
	Ways      []string
	Scenarios []string
	// Holders are the numbers of hosts whose cost is measured.
	Holders []int
}

// Run prints one line for each run.
func (e *Experiment) Run() error {
	w := tabwriter.NewWriter(e.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "User\tScenario\tWay\tRequests\tWrongful\tMinuteAfter\tWorst\tOver\tMessages/s\tStore/s\t")
	for _, d := range deployments {
		for _, s := range scenarios {
			for _, v := range ways {
				if !chosen(e.Scenarios, s.name) || !chosen(e.Ways, v.name) {
					continue
				}
				r := e.run(d, s, v)
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.3f%%\t%.3f%%\t%.1f%%\t%d\t%.1f\t%.1f\t\n",
					d.name, s.name, v.name, r.offered, r.wrongful(), r.after(), r.worst(), r.over, r.messages, r.store)
			}
		}
	}
	if err := w.Flush(); err != nil || len(e.Holders) == 0 {
		return err
	}
	return e.slope()
}

func chosen(l []string, name string) bool {
	return len(l) == 0 || slices.Contains(l, name)
}

// slope prints what control costs by the number of hosts.
func (e *Experiment) slope() error {
	w := tabwriter.NewWriter(e.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nHolders\tMessages/s\tPerHost\tStore/s\tRowBytes\t")
	for _, n := range e.Holders {
		d := deployments[0]
		d.perRegion = [3]int{n - 2*(n/3), n / 3, n / 3}
		d.heartbeat = time.Second
		p := newPlay(e.Seed, d, ways[0])
		p.simulation.Run(slopeWarm)
		m, s := p.simulation.Messages, p.operations()
		p.simulation.Run(slopeTime)
		t := slopeTime.Seconds()
		v := float64(p.simulation.Messages-m) / t
		fmt.Fprintf(w, "%d\t%.0f\t%.1f\t%.1f\t%d\t\n", n, v, v/float64(n), float64(p.operations()-s)/t, p.rowBytes())
	}
	return w.Flush()
}

func (e *Experiment) run(d deployment, s scenario, v way) result {
	p := newPlay(e.Seed, d, v)
	x := s.length
	if e.Short {
		x = min(x, shortTime)
	}
	p.simulation.Run(warm)
	p.begin(s.factor)
	m, o := p.simulation.Messages, p.operations()
	p.simulation.Run(x / 8)
	p.event = p.simulation.Now()
	s.fault(p)
	p.simulation.Run(x * 5 / 8)
	s.mend(p)
	p.simulation.Run(x / 4)
	p.end()
	p.result.messages = float64(p.simulation.Messages-m) / x.Seconds()
	p.result.store = float64(p.operations()-o) / x.Seconds()
	return p.result
}

const (
	warm      = 30 * time.Second
	shortTime = 80 * time.Second
	slopeWarm = 12 * time.Second
	slopeTime = 10 * time.Second
)

// scenario is a load with one fault, which lasts five eighths of its length.
type scenario struct {
	name   string
	length time.Duration
	factor float64
	fault  func(p *play)
	mend   func(p *play)
}

var scenarios = []scenario{
	{name: "ordinary", length: 4 * time.Minute, factor: 1, fault: none, mend: none},
	{name: "one-at-5x", length: 4 * time.Minute, factor: 5, fault: none, mend: none},
	{name: "host-lost", length: 4 * time.Minute, factor: 1, fault: func(p *play) { p.kill(0) }, mend: func(p *play) { p.replace(0) }},
	{name: "region-lost", length: 4 * time.Minute, factor: 1, fault: func(p *play) { p.killRegion(2) }, mend: none},
	{name: "store-out-10m", length: 16 * time.Minute, factor: 1, fault: func(p *play) { p.out = true }, mend: func(p *play) { p.out = false }},
	{name: "partition-5m", length: 8 * time.Minute, factor: 1, fault: func(p *play) { p.cut = true }, mend: func(p *play) { p.cut = false }},
}

func none(*play) {}

// deployment is the size of one user.
type deployment struct {
	name      string
	regions   [3]string
	perRegion [3]int
	far       time.Duration
	heartbeat time.Duration
	rates     []float64
}

var deployments = []deployment{
	{
		name: "Association", regions: [3]string{"lagos", "abuja", "port-harcourt"}, perRegion: [3]int{4, 4, 3},
		far: 55 * time.Millisecond, heartbeat: 200 * time.Millisecond,
		rates: []float64{160, 120, 60, 40, 40, 20, 20, 20},
	},
	{
		name: "Collective", regions: [3]string{"bagmati", "gandaki", "koshi"}, perRegion: [3]int{3, 3, 2},
		far: 20 * time.Millisecond, heartbeat: 200 * time.Millisecond,
		rates: []float64{100, 80, 40, 40, 20, 20, 20, 20},
	},
}

// random returns a source of its own for each use, so that a way that draws
// more numbers does not change the load of the next.
func random(seed, use uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, use))
}
