package cmd

import (
	"context"
	"net/url"
	"sort"
	"strings"

	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/lookupexplanation"
	"celeryreach.example/celeryreach/route"
)

func (m *Cmd) statusWhy() *cli.Command {
	return m.operatorCommand("why", "tell why a caller goes where it goes", "ACCOUNT SERVICE", m.runStatusWhy,
		&cli.StringFlag{Name: "region", Usage: "the caller's `REGION`"},
		&cli.StringFlag{Name: "address", Usage: "the caller's IP `ADDRESS`"})
}

func (m *Cmd) runStatusWhy(ctx context.Context, c *cli.Command) error {
	a, err := exactArgs(c, "ACCOUNT", "SERVICE")
	if err != nil {
		return err
	}
	n, err := m.connect(c)
	if err != nil {
		return err
	}
	defer n.close()
	q := url.Values{"account": {a[0]}, "service": {a[1]}, "region": {c.String("region")}, "address": {c.String("address")}}
	var w lookupexplanation.Lookupexplanation
	if err := n.client.Get(ctx, "/why?"+q.Encode(), &w); err != nil {
		return err
	}
	return m.writeResult(c, w, func() { m.writeWhy(w) })
}

func (m *Cmd) writeWhy(w lookupexplanation.Lookupexplanation) {
	b := w.Block
	if b == "" {
		b = "no client block has the address"
	}
	m.printf("home region: %s (%s)\n", w.Home, b)
	m.printf("route of the home region's callers; this one's point is %d:\n", w.Point)
	f := 0
	for _, s := range w.Route {
		h := ""
		if w.Point >= f && w.Point < s.Until {
			h = "  <- here"
		}
		m.printf("  %6.2f%% to %s%s\n", 100*float64(s.Until-f)/route.TotalPoints, s.Region, h)
		f = s.Until
	}
	var d []string
	for k := range w.Weights {
		d = append(d, k)
	}
	sort.Strings(d)
	for _, k := range d {
		m.printf("weight of %s: %.2f\n", k, w.Weights[k])
	}
	if w.PlanReason != "" {
		m.printf("plan %d: %s\n", w.Answer.PlanVersion, w.PlanReason)
	}
	if len(w.Lost) > 0 {
		m.printf("no host is heard of: %s\n", strings.Join(w.Lost, ", "))
	}
	if len(w.Leaving) > 0 {
		m.printf("not named because they leave: %s\n", strings.Join(w.Leaving, ", "))
	}
	if w.Refusal.Outcome != "" {
		m.printf("refused: %s: %s\n", w.Refusal.Outcome, w.Refusal.Message)
		return
	}
	m.printf("entry hosts in %s, best first:\n", w.Answer.Region)
	for _, h := range w.Answer.EntryHosts {
		m.printf("  %s\n", h)
	}
}
