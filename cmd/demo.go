package cmd

import (
	"context"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/demo"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a whole small deployment in this process, on loopback",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "for", Usage: "end by itself after this time"},
			&cli.BoolFlag{Name: "verbose", Usage: "log the events of all parts"},
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, c *cli.Command) error {
	if t := c.Duration("for"); t > 0 {
		x, f := context.WithTimeout(ctx, t)
		defer f()
		ctx = x
	}
	l := logger()
	if !c.Bool("verbose") {
		l.SetLevel(log.ErrorLevel)
	}
	d := &demo.Demo{Clock: clockwork.NewRealClock(), Log: l, Out: c.Root().Writer}
	return d.Run(ctx)
}
