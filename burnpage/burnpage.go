// Package burnpage renders the burn report as a self-contained HTML page.
package burnpage

import (
	"bytes"
	"html/template"
	"io"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"celeryreach.example/celeryreach/lineplot"
	"celeryreach.example/celeryreach/report"
)

const barWidth = 14 * vg.Millimeter

// pageData is the input of the page template.
type pageData struct {
	At     string
	Alerts []string
	Silent map[string]string
	Plots  []template.HTML
	Text   string
}

var pageTemplate = template.Must(template.New("burn").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Burn report {{.At}}</title>
<style>body{font-family:sans-serif;margin:2em;max-width:70em}pre{background:#f4f4f4;padding:1em;overflow:auto}
.alert{color:#a00;font-weight:bold}svg{max-width:100%;height:auto;display:block;margin:1em 0}</style></head>
<body><h1>Burn report</h1><p>{{.At}}</p>
{{range .Alerts}}<p class="alert">{{.}}</p>{{else}}<p>No budget burns too fast.</p>{{end}}
{{range $h, $e := .Silent}}<p class="alert">No answer from {{$h}}, its counts are missing: {{$e}}</p>{{end}}
{{range .Plots}}{{.}}{{end}}
<pre>{{.Text}}</pre></body></html>
`))

// Write renders the report r as an HTML page to w.
func Write(w io.Writer, r *report.Report) error {
	var t bytes.Buffer
	if err := r.Text(&t); err != nil {
		return errors.Wrap(err, "text")
	}
	p := pageData{At: r.At.Format(time.RFC3339), Alerts: r.Alerts, Silent: r.Silent, Text: t.String()}
	for _, f := range []func(*report.Report) (*plot.Plot, error){plotBurnRates, plotAccounts, plotLatencies} {
		v, err := f(r)
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		s, err := lineplot.Draw(v)
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		p.Plots = append(p.Plots, template.HTML(s)) //nolint:gosec // lineplot escapes all text
	}
	return errors.Wrap(pageTemplate.Execute(w, p), "page")
}

// plotBurnRates plots the burn rates by minute.
func plotBurnRates(r *report.Report) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Burn rate by minute (1 uses the budget up exactly)"
	p.X.Label.Text = "minutes ago"
	p.Y.Label.Text = "burn"
	p.Y.Min = 0
	m := make(map[string]plotter.XYs)
	for _, v := range r.Minutes {
		m[v.Service] = append(m[v.Service], plotter.XY{X: float64(v.Minute - r.At.Unix()/60), Y: v.Burn})
	}
	return p, lineplot.Add(p, m)
}

// plotAccounts plots how the requests of each client account ended, as stacked
// bars.
func plotAccounts(r *report.Report) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Requests by client account"
	p.Y.Label.Text = "requests"
	n := make([]string, 0, len(r.Accounts))
	v := make([]plotter.Values, 5)
	for _, a := range r.Accounts {
		n = append(n, a.Account)
		for i, x := range []uint64{a.Answered, a.Left, a.Failed + a.Inside, a.Wrongful, a.OverRate - min(a.Wrongful, a.OverRate)} {
			v[i] = append(v[i], float64(x))
		}
	}
	if len(n) == 0 {
		return p, nil
	}
	var below *plotter.BarChart
	for i, l := range []string{"answered", "left", "failed or refused inside the rate", "wrongly over rate", "over rate"} {
		b, err := plotter.NewBarChart(v[i], barWidth)
		if err != nil {
			return nil, err
		}
		b.Color = plotutil.Color(i)
		if below != nil {
			b.StackOn(below)
		}
		below = b
		p.Add(b)
		p.Legend.Add(l, b)
	}
	p.Legend.Top = true
	p.NominalX(n...)
	p.Y.Max *= 1.6 // leaves space for the legend above the bars
	p.X.Min, p.X.Max = -1, float64(len(n))
	return p, nil
}

// plotLatencies plots the latency percentiles of each service.
func plotLatencies(r *report.Report) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Time to the end of the answer, last hour"
	p.Y.Label.Text = "ms"
	p.NominalX("50%", "90%", "99%", "99.9%")
	for i, v := range r.Latencies {
		var x plotter.XYs
		for j, d := range []time.Duration{v.P50, v.P90, v.P99, v.P999} {
			x = append(x, plotter.XY{X: float64(j), Y: float64(d) / float64(time.Millisecond)})
		}
		l, s, err := plotter.NewLinePoints(x)
		if err != nil {
			return nil, err
		}
		l.Color, s.Color = plotutil.Color(i), plotutil.Color(i)
		p.Add(l, s)
		p.Legend.Add(v.Service, l, s)
	}
	p.Legend.Top = true
	p.Legend.Left = true
	return p, nil
}
