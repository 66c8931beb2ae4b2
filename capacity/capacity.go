// Package capacity measures the slopes behind the capacity page and works out
// what each role costs at the target size.
package capacity

import (
	"context"
	"fmt"
	"io"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/measurement"
	"celeryreach.example/celeryreach/role"
	"celeryreach.example/celeryreach/slope"
	"celeryreach.example/celeryreach/target"
)

// Capacity prints the tables of the capacity page.
type Capacity struct {
	// Clock measures the probes.
	Clock clockwork.Clock
	// Target is the size to work out.
	Target target.Target
	// Out receives the tables.
	Out io.Writer
	// Short measures at small sizes only, for tests.
	Short bool

	slopes map[string]slope.Slope
}

// Run measures and prints both tables.
func (c *Capacity) Run(ctx context.Context) error {
	p := c.measurements()
	c.slopes = make(map[string]slope.Slope, len(p))
	fmt.Fprintln(c.Out, "| cost | sizes | measured | base | each | fit |")
	fmt.Fprintln(c.Out, "|---|---|---|---|---|---|")
	for i := range p {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		c.slopes[p[i].Name] = p[i].Run()
		c.line(&p[i])
	}
	fmt.Fprintln(c.Out)
	c.table(c.roles())
	fmt.Fprintln(c.Out)
	c.badHours()
	return nil
}

func (c *Capacity) line(p *measurement.Measurement) {
	s := c.slopes[p.Name]
	fmt.Fprintf(c.Out, "| %s | %s %s | %s %s | %.3g %s | %.3g %s/%s | %.3f |\n",
		p.Name, list(p.Sizes), p.Per, floats(p.Costs()), p.Unit, s.Base, p.Unit, s.Each, p.Unit, p.Per, s.Fit)
}

func (c *Capacity) table(r []role.Role) {
	fmt.Fprintln(c.Out, "| role | memory a host | messages/s a host | bytes/s a host | table reads/s in all | table writes/s in all | core a host | carried by | today's code breaks on |")
	fmt.Fprintln(c.Out, "|---|---|---|---|---|---|---|---|---|")
	t := role.Role{Name: "**all**"}
	for _, v := range r {
		c.row(v)
		t.State += v.State
		t.Messages += v.Messages
		t.Traffic += v.Traffic
		t.Reads += v.Reads
		t.Writes += v.Writes
		t.Core += v.Core
	}
	c.row(t)
	fmt.Fprintf(c.Out, "| budget | %s | | %s | %.0f | %.0f | %.2f%% | | |\n",
		size(c.Target.Bytes), size(c.Target.Traffic), c.Target.StoreReads, c.Target.StoreWrites, 100*c.Target.Core)
}

func (c *Capacity) row(r role.Role) {
	fmt.Fprintf(c.Out, "| %s | %s | %.3g | %s | %.3g | %.3g | %.3f%% | %s | %s |\n",
		r.Name, size(r.State), r.Messages, size(r.Traffic), r.Reads, r.Writes, 100*r.Core, r.Carries, r.Breaks)
}

func size(b float64) string {
	switch {
	case b >= 1<<20:
		return fmt.Sprintf("%.1f MiB", b/(1<<20))
	case b >= 1<<10:
		return fmt.Sprintf("%.1f KiB", b/(1<<10))
	default:
		return fmt.Sprintf("%.0f B", b)
	}
}

func list(v []int) string {
	var s string
	for i, x := range v {
		if i > 0 {
			s += ", "
		}
		s += fmt.Sprint(x)
	}
	return s
}

func floats(v []float64) string {
	var s string
	for i, x := range v {
		if i > 0 {
			s += ", "
		}
		s += fmt.Sprintf("%.4g", x)
	}
	return s
}
