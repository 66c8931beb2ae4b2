package cmd

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/burnpage"
	"celeryreach.example/celeryreach/hostcounts"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/report"
)

func (m *Cmd) reportBurn() *cli.Command {
	return m.operatorCommand("burn", "compare what all reachable hosts have counted with the service-level objectives", "", m.runReportBurn,
		&cli.StringFlag{Name: "html", Usage: "also write a page with plots to `FILE`"})
}

func (m *Cmd) runReportBurn(ctx context.Context, c *cli.Command) error {
	if _, err := exactArgs(c); err != nil {
		return err
	}
	n, err := m.connect(c)
	if err != nil {
		return err
	}
	defer n.close()
	v, err := n.load(ctx)
	if err != nil {
		return err
	}
	s, err := n.client.Status(ctx)
	if err != nil {
		return err
	}
	g := n.collectCounts(ctx, append(append([]member.Member{s.Host}, s.Peers...), s.Missing...))
	var kept []hostcounts.Hostcounts
	err = n.client.Get(ctx, "/burn/kept", &kept)
	r := report.Build(v, append(g.counts, kept...), m.Clock.Now())
	r.Hosts, r.Silent = g.hosts, g.silent
	r.Replaced = replacedProcesses(kept)
	if err != nil {
		r.Unkept = err.Error()
	}
	if err := writePage(c.String("html"), func(w io.Writer) error { return burnpage.Write(w, r) }); err != nil {
		return err
	}
	var t error
	if err := m.writeResult(c, r, func() { t = r.Text(m.Out) }); err != nil {
		return err
	}
	return t
}

// burnResponses holds the counts of the hosts that responded, the names of these
// hosts, and the errors of the others by host.
type burnResponses struct {
	counts []hostcounts.Hostcounts
	hosts  []string
	silent map[string]string
}

// collectCounts requests the counts of all hosts in parallel.
func (n *connection) collectCounts(ctx context.Context, hosts []member.Member) burnResponses {
	type answer struct {
		host   string
		counts hostcounts.Hostcounts
		err    error
	}
	c := make(chan answer)
	for _, h := range hosts {
		go func() {
			a := answer{host: h.Name}
			a.err = n.clientFor(h).Get(ctx, "/burn", &a.counts)
			c <- a
		}()
	}
	g := burnResponses{silent: make(map[string]string)}
	for range hosts {
		a := <-c
		if a.err != nil {
			g.silent[a.host] = a.err.Error()
			continue
		}
		g.counts = append(g.counts, a.counts)
		g.hosts = append(g.hosts, a.host)
	}
	return g
}

// replacedProcesses returns each host and incarnation in kept once.
func replacedProcesses(kept []hostcounts.Hostcounts) []string {
	var r []string
	d := make(map[string]bool)
	for _, s := range kept {
		n := fmt.Sprintf("%s/%016x", s.Host, s.Incarnation)
		if !d[n] {
			r = append(r, n)
		}
		d[n] = true
	}
	return r
}
