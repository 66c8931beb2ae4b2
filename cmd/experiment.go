package cmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/quotaexperiment"
)

func (m *Cmd) experimentCommand() *cli.Command {
	return &cli.Command{
		Name:  "experiment",
		Usage: "measure decisions by simulation, without sockets and with a fake clock",
		Commands: []*cli.Command{
			experimentQuotaCommand(),
			experimentQueueCommand(),
			experimentPlacementCommand(),
			experimentBackendCommand(),
			experimentConfigCommand(),
			m.experimentCapacityCommand(),
		},
	}
}

func experimentQuotaCommand() *cli.Command {
	return &cli.Command{
		Name:  "quota",
		Usage: "who is refused wrongly, and what dividing the limits costs",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "repeat a run"},
			&cli.BoolFlag{Name: "short", Usage: "at most 80 s of simulated time a run"},
			&cli.StringSliceFlag{Name: "way", Usage: "run only this: divisions, equal-parts, table-leases"},
			&cli.StringSliceFlag{Name: "scenario", Usage: "run only this, such as host-lost"},
			&cli.IntSliceFlag{Name: "holders", Value: []int{10, 100}, Usage: "numbers of hosts whose cost is measured"},
		},
		Action: runExperimentQuota,
	}
}

func runExperimentQuota(_ context.Context, c *cli.Command) error {
	e := &quotaexperiment.Quotaexperiment{
		Out: c.Root().Writer, Seed: c.Uint64("seed"), Short: c.Bool("short"), Holders: c.IntSlice("holders"),
		Methods: c.StringSlice("way"), Scenarios: c.StringSlice("scenario"),
	}
	return e.Run()
}
