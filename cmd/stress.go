package cmd

import (
	"context"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/stress"
)

func stressCommand() *cli.Command {
	return &cli.Command{
		Name:  "stress",
		Usage: "send many requests through a deployment in this process while faults are drawn, and judge every answer",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "requests", Usage: "number of requests", Value: 100_000},
			&cli.IntFlag{Name: "callers", Usage: "callers at once", Value: 64},
			&cli.Uint64Flag{Name: "seed", Usage: "draws requests and faults", Value: 1},
			&cli.BoolFlag{Name: "verbose", Usage: "log the events of all parts"},
		},
		Action: runStress,
	}
}

func runStress(ctx context.Context, c *cli.Command) error {
	l := logger()
	if !c.Bool("verbose") {
		l.SetLevel(log.FatalLevel)
	}
	s := &stress.Stress{
		Clock: clockwork.NewRealClock(), Log: l, Out: c.Root().Writer,
		Requests: c.Int("requests"), Callers: c.Int("callers"), Seed: c.Uint64("seed"),
	}
	return s.Run(ctx)
}
