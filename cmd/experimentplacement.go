package cmd

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/placementplot"
	"celeryreach.example/celeryreach/placementsimulation"
)

func experimentPlacementCommand() *cli.Command {
	return &cli.Command{
		Name:  "placement",
		Usage: "compare ways to place requests on backend servers that know objects, under the worst loads",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "draws the arrivals", Value: 1},
			&cli.DurationFlag{Name: "for", Usage: "simulated time; trouble lasts from 5s to 12s", Value: 20 * time.Second},
			&cli.IntFlag{Name: "regions", Usage: "callers of an object come through the hosts of one of so many `REGIONS`", Value: 1},
			&cli.BoolFlag{Name: "windows", Usage: "show every two seconds"},
			&cli.StringFlag{Name: "html", Usage: "also write a page with plots to `FILE`"},
		},
		Action: runExperimentPlacement,
	}
}

func runExperimentPlacement(_ context.Context, c *cli.Command) error {
	t := tabwriter.NewWriter(c.Root().Writer, 0, 8, 2, ' ', 0)
	d := c.Duration("for")
	l := placementplot.New()
	fmt.Fprintln(t, "trouble\tway\tin time, all\tin the trouble\tafter it")
	for _, x := range []string{
		placementsimulation.Calm, placementsimulation.Lost, placementsimulation.Short, placementsimulation.Slow, placementsimulation.Burst, placementsimulation.Restricted,
	} {
		for _, w := range []string{
			placementsimulation.Random, placementsimulation.LeastLoaded, placementsimulation.Affinity, placementsimulation.Anywhere, placementsimulation.Eager, placementsimulation.Current,
		} {
			p := &placementsimulation.Placementsimulation{Seed: c.Uint64("seed"), Duration: d, Policy: w, Fault: x, Regions: c.Int("regions")}
			p.Run()
			l.Add(p)
			fmt.Fprintf(t, "%s\t%s\t%.3f\t%.3f\t%.3f\n", x, w, p.Timely(0, d), p.Timely(4*time.Second, 12*time.Second), p.Timely(12*time.Second, d))
			if c.Bool("windows") {
				for _, l := range p.Report() {
					fmt.Fprintln(t, strings.ReplaceAll(l, " ", "\t"))
				}
			}
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return writePage(c.String("html"), l.Write)
}
