// Package capacity produces the tables of the capacity page. It measures how the
// cost of each operation grows with size and computes from that what each role of
// the system costs at the target size.
package capacity

import (
	"context"
	"fmt"
	"io"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/componentcost"
	"celeryreach.example/celeryreach/linearfit"
	"celeryreach.example/celeryreach/measurement"
	"celeryreach.example/celeryreach/targetsize"
)

// Capacity runs the measurements and prints the tables of the capacity page.
type Capacity struct {
	// Clock times the measurements.
	Clock clockwork.Clock
	// Target is the deployment size for which costs are computed.
	Target targetsize.Targetsize
	// Out receives the tables as Markdown.
	Out io.Writer
	// Short reduces the measured sizes to a hundredth, for tests.
	Short bool

	fits map[string]linearfit.Linearfit // by the name of the measured cost
}

// Run measures all costs, then prints the tables of measurements, components and
// worst cases.
func (c *Capacity) Run(ctx context.Context) error {
	p := c.measurements()
	c.fits = make(map[string]linearfit.Linearfit, len(p))
	fmt.Fprintln(c.Out, "| cost | sizes | measured | base | each | fit |")
	fmt.Fprintln(c.Out, "|---|---|---|---|---|---|")
	for i := range p {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		c.fits[p[i].Name] = p[i].Run()
		c.printMeasurement(&p[i])
	}
	fmt.Fprintln(c.Out)
	c.printComponents(c.components())
	fmt.Fprintln(c.Out)
	c.printWorstCases()
	return nil
}

func (c *Capacity) printMeasurement(p *measurement.Measurement) {
	s := c.fits[p.Name]
	fmt.Fprintf(c.Out, "| %s | %s %s | %s %s | %.3g %s | %.3g %s/%s | %.3f |\n",
		p.Name, formatInts(p.Sizes), p.Per, formatFloats(p.Costs()), p.Unit, s.Intercept, p.Unit, s.Slope, p.Unit, p.Per, s.RSquared)
}

func (c *Capacity) printComponents(r []componentcost.Componentcost) {
	fmt.Fprintln(c.Out, "| role | memory a host | messages/s a host | bytes/s a host | table reads/s in all | table writes/s in all | core a host | carried by | today's code breaks on |")
	fmt.Fprintln(c.Out, "|---|---|---|---|---|---|---|---|---|")
	t := componentcost.Componentcost{Name: "**all**"}
	for _, v := range r {
		c.printComponent(v)
		t.Memory += v.Memory
		t.Messages += v.Messages
		t.Traffic += v.Traffic
		t.Reads += v.Reads
		t.Writes += v.Writes
		t.Core += v.Core
	}
	c.printComponent(t)
	fmt.Fprintf(c.Out, "| budget | %s | | %s | %.0f | %.0f | %.2f%% | | |\n",
		formatBytes(c.Target.Memory), formatBytes(c.Target.Traffic), c.Target.StoreReads, c.Target.StoreWrites, 100*c.Target.Core)
}

func (c *Capacity) printComponent(r componentcost.Componentcost) {
	fmt.Fprintf(c.Out, "| %s | %s | %.3g | %s | %.3g | %.3g | %.3f%% | %s | %s |\n",
		r.Name, formatBytes(r.Memory), r.Messages, formatBytes(r.Traffic), r.Reads, r.Writes, 100*r.Core, r.Mechanism, r.Bottleneck)
}

func formatBytes(b float64) string {
	switch {
	case b >= 1<<20:
		return fmt.Sprintf("%.1f MiB", b/(1<<20))
	case b >= 1<<10:
		return fmt.Sprintf("%.1f KiB", b/(1<<10))
	default:
		return fmt.Sprintf("%.0f B", b)
	}
}

func formatInts(v []int) string {
	var s string
	for i, x := range v {
		if i > 0 {
			s += ", "
		}
		s += fmt.Sprint(x)
	}
	return s
}

func formatFloats(v []float64) string {
	var s string
	for i, x := range v {
		if i > 0 {
			s += ", "
		}
		s += fmt.Sprintf("%.4g", x)
	}
	return s
}
