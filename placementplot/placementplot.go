// Package placementplot writes an HTML page of plots that compare request placement
// policies over time under simulated faults.
package placementplot

import (
	"html/template"
	"io"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"celeryreach.example/celeryreach/lineplot"
	"celeryreach.example/celeryreach/placementsimulation"
)

// Placementplot collects simulation runs and writes them as one HTML page.
type Placementplot struct {
	scenarios []string
	lines     map[string]map[string]plotter.XYs // by fault and policy
}

var pageTemplate = template.Must(template.New("placement").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Request placement policies</title>
<style>body{font-family:sans-serif;margin:2em;max-width:70em}svg{max-width:100%;height:auto;display:block;margin:1em 0}</style></head>
<body><h1>Request placement policies</h1><p>Fraction of requests that were answered within their latency objective, by the
second at which they arrived. The fault lasts from 5 s to 12 s.</p>{{range .}}{{.}}{{end}}</body></html>
`))

// New returns an empty page.
func New() *Placementplot {
	return &Placementplot{lines: make(map[string]map[string]plotter.XYs)}
}

// Add adds the results of a completed run.
func (p *Placementplot) Add(t *placementsimulation.Placementsimulation) {
	if p.lines[t.Fault] == nil {
		p.scenarios = append(p.scenarios, t.Fault)
		p.lines[t.Fault] = make(map[string]plotter.XYs)
	}
	var l plotter.XYs
	for a := placementsimulation.Window; a <= t.Duration; a += placementsimulation.Window {
		l = append(l, plotter.XY{X: (a - placementsimulation.Window).Seconds(), Y: t.Timely(a-placementsimulation.Window, a)})
	}
	p.lines[t.Fault][t.Policy] = l
}

// Write writes the page.
func (p *Placementplot) Write(w io.Writer) error {
	var l []template.HTML
	for _, x := range p.scenarios {
		b, err := p.draw(x)
		if err != nil {
			return errors.Wrap(err, x)
		}
		l = append(l, template.HTML(b)) //nolint:gosec // lineplot escapes all text
	}
	return errors.Wrap(pageTemplate.Execute(w, l), "page")
}

func (p *Placementplot) draw(fault string) ([]byte, error) {
	v := plot.New()
	v.Title.Text = fault
	v.X.Label.Text = "second"
	v.Y.Label.Text = "answered in time"
	v.Y.Min, v.Y.Max = 0, 1
	if err := lineplot.Add(v, p.lines[fault]); err != nil {
		return nil, err
	}
	return lineplot.Draw(v)
}
