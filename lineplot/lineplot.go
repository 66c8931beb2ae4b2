// Package lineplot draws line plots as SVG images.
package lineplot

import (
	"bytes"
	"maps"
	"slices"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	width  = 18 * vg.Centimeter
	height = 8 * vg.Centimeter
)

// Add adds a line for each name to the plot, with a legend and a grid.
func Add(p *plot.Plot, lines map[string]plotter.XYs) error {
	for i, n := range slices.Sorted(maps.Keys(lines)) {
		l, s, err := plotter.NewLinePoints(lines[n])
		if err != nil {
			return errors.Wrap(err, n)
		}
		l.Color, s.Color = plotutil.Color(i), plotutil.Color(i)
		s.Shape = plotutil.Shape(i)
		p.Add(l, s)
		p.Legend.Add(n, l, s)
	}
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return nil
}

// Draw returns the plot as an SVG element without the XML declaration, which is
// not allowed inside HTML. Its texts are escaped.
func Draw(p *plot.Plot) ([]byte, error) {
	c := vgsvg.New(width, height)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return nil, errors.Wrap(err, "draw")
	}
	i := bytes.Index(b.Bytes(), []byte("<svg"))
	if i < 0 {
		return nil, errors.New("the drawn plot has no <svg> element")
	}
	return b.Bytes()[i:], nil
}
