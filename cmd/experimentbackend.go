package cmd

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/backendsimulation"
)

func experimentBackendCommand() *cli.Command {
	return &cli.Command{
		Name:  "backend",
		Usage: "compare balancers while one of twelve backend servers is in trouble",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "draws the requests", Value: 1},
			&cli.DurationFlag{Name: "for", Usage: "simulated time; trouble begins at 5 s", Value: 20 * time.Second},
		},
		Action: runExperimentBackend,
	}
}

func runExperimentBackend(_ context.Context, c *cli.Command) error {
	t := tabwriter.NewWriter(c.Root().Writer, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "trouble\tbalancer\tsent\tanswered\tfailed\trefused\tshed\tafterwards\tp50\tp99")
	for _, v := range backendsimulation.Faults() {
		for _, f := range []bool{true, false} {
			n := "new"
			if f {
				n = "first"
			}
			b := &backendsimulation.Backendsimulation{Seed: c.Uint64("seed"), Duration: c.Duration("for"), Fault: v, Baseline: f}
			fmt.Fprintf(t, "%s\t%s\t%s\n", v, n, strings.ReplaceAll(b.Run(), " ", "\t"))
		}
	}
	return t.Flush()
}
