package cmd

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/queuesimulation"
)

func experimentQueueCommand() *cli.Command {
	return &cli.Command{
		Name:  "queue",
		Usage: "compare queues while one account sends 5 times its rate and 60% of the callers leave",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "draws the arrivals", Value: 1},
			&cli.DurationFlag{Name: "for", Usage: "simulated time", Value: 10 * time.Second},
		},
		Action: runExperimentQueue,
	}
}

func runExperimentQueue(_ context.Context, c *cli.Command) error {
	s := c.Uint64("seed")
	d := c.Duration("for")
	for _, v := range []struct {
		name string
		run  queuesimulation.Queuesimulation
	}{
		{name: "one line in order of arrival (baseline)"},
		{name: "fair, oldest first", run: queuesimulation.Queuesimulation{Fair: true}},
		{name: "fair, newest first after 50ms", run: queuesimulation.Queuesimulation{Fair: true, NewestFirstAfter: 50 * time.Millisecond}},
		{name: "fair, newest first after 100ms", run: queuesimulation.Queuesimulation{Fair: true, NewestFirstAfter: 100 * time.Millisecond}},
		{name: "fair, newest first after 400ms", run: queuesimulation.Queuesimulation{Fair: true, NewestFirstAfter: 400 * time.Millisecond}},
	} {
		v.run.Seed = s
		v.run.Duration = d
		fmt.Fprintf(c.Root().Writer, "# %s\n", v.name)
		t := tabwriter.NewWriter(c.Root().Writer, 0, 8, 2, ' ', 0)
		for _, l := range v.run.Run() {
			fmt.Fprintln(t, strings.ReplaceAll(l, " ", "\t"))
		}
		if err := t.Flush(); err != nil {
			return err
		}
	}
	return nil
}
