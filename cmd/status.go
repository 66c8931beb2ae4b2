package cmd

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/status"
)

// overview is the JSON output of status: the state of the entire deployment.
type overview struct {
	// Hosts holds the status of each host that responded.
	Hosts []status.Status
	// Silent lists the hosts that did not respond.
	Silent []hostVersion
	// Drains lists everything that is draining.
	Drains []string
}

func (m *Cmd) statusCommand() *cli.Command {
	c := m.operatorCommand("status", "print hosts, versions in force, preset, loads, parts of rates, drains and plan", "", m.runStatus)
	c.Commands = []*cli.Command{m.statusWhy()}
	return c
}

func (m *Cmd) runStatus(ctx context.Context, c *cli.Command) error {
	if _, err := exactArgs(c); err != nil {
		return err
	}
	n, err := m.connect(c)
	if err != nil {
		return err
	}
	defer n.close()
	s, err := n.hostStates(ctx)
	if err != nil {
		return err
	}
	v, err := n.load(ctx)
	if err != nil {
		return err
	}
	var o overview
	for _, x := range s {
		if x.err != nil {
			o.Silent = append(o.Silent, hostVersion{Host: x.member.Name, Error: x.err.Error()})
			continue
		}
		o.Hosts = append(o.Hosts, x.status)
	}
	o.Drains = drainingNames(v)
	return m.writeResult(c, o, func() { m.writeOverview(s, o) })
}

func (m *Cmd) writeOverview(s []hostState, o overview) {
	r := [][]string{{"HOST", "DOMAIN", "REGION", "VERSION", "PRESET", "PEERS", "LENT", "BORROWED", "BUSY/SLOTS+WAITING"}}
	for _, x := range s {
		if x.err != nil {
			r = append(r, []string{x.member.Name, x.member.Domain, x.member.Region, "-", "-", "-", "-", "-", "does not answer"})
			continue
		}
		t := x.status
		r = append(r, []string{
			t.Host.Name, t.Host.Domain, t.Host.Region, strconv.FormatUint(t.ConfigVersion, 10), t.Preset,
			strconv.Itoa(len(t.Peers)), strconv.Itoa(t.SlotsLent), strconv.Itoa(t.SlotsBorrowed), formatLoads(t),
		})
	}
	m.writeTable(r)
	m.writeShares(o)
	for _, d := range o.Drains {
		m.printf("draining: %s\n", d)
	}
	p := status.Status{}
	for _, t := range o.Hosts {
		if t.PlanVersion > p.PlanVersion {
			p = t
		}
	}
	if p.PlanVersion > 0 {
		m.printf("plan %d: %s\n", p.PlanVersion, p.PlanReason)
	}
}

// writeShares prints each host's share of the accounts' rates, in requests per
// second.
func (m *Cmd) writeShares(o overview) {
	r := [][]string{{"ACCOUNT"}}
	a := make(map[string]int)
	for _, t := range o.Hosts {
		for _, s := range t.Shares {
			if a[s.Account] == 0 {
				a[s.Account] = len(r)
				r = append(r, []string{s.Account})
			}
		}
	}
	for _, t := range o.Hosts {
		r[0] = append(r[0], t.Host.Name)
		for i := 1; i < len(r); i++ {
			r[i] = append(r[i], "0")
		}
		for _, s := range t.Shares {
			w := r[a[s.Account]]
			w[len(w)-1] = fmt.Sprintf("%.4g (%.0f%% floor)", s.Rate, 100*s.Floor/(s.Floor+s.Leased))
			if s.Lent > 0 {
				w[len(w)-1] += fmt.Sprintf(", %d lent", s.Lent)
			}
		}
	}
	m.printf("\nparts of the rates, requests a second\n")
	m.writeTable(r)
}

// formatLoads formats the load of each service as BUSY/SLOTS+WAITING.
func formatLoads(t status.Status) string {
	var r []string
	for _, l := range t.Loads {
		r = append(r, fmt.Sprintf("%s %d/%d+%d", l.Service, l.Busy, l.Slots, l.Waiting))
	}
	return strings.Join(r, ", ")
}

// drainingNames returns the names of everything that is draining.
func drainingNames(v *config.Config) []string {
	var r []string
	for _, x := range v.Regions {
		if x.Draining {
			r = append(r, "region "+x.Name)
		}
	}
	for _, x := range v.Domains {
		if x.Draining {
			r = append(r, "failure domain "+x.Name)
		}
	}
	for _, x := range v.Backends {
		if x.Draining {
			r = append(r, "backend server "+x.Name)
		}
	}
	return r
}
