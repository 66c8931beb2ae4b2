package cmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/capacity"
	"celeryreach.example/celeryreach/target"
)

func (m *Cmd) experimentCapacityCommand() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "measure the slopes behind docs/CAPACITY.md and print its tables",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "short", Usage: "measure at a hundredth of the sizes"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			v := &capacity.Capacity{Clock: m.Clock, Target: target.New(), Out: m.Out, Short: c.Bool("short")}
			return v.Run(ctx)
		},
	}
}
