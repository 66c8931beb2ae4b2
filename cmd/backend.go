package cmd

import (
	"context"
	"net"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/backendstandin"
	"celeryreach.example/celeryreach/httplisten"
)

func backendCommand() *cli.Command {
	return &cli.Command{
		Name:  "backend",
		Usage: "run the stand-in for a backend server; it is not for production",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Usage: "`ADDRESS`, IP and port", Value: "127.0.0.1:7400"},
			&cli.StringFlag{Name: "name", Usage: "`NAME` told in answers", Value: "backend"},
			&cli.IntFlag{Name: "slots", Usage: "requests run at once", Value: 4},
			&cli.DurationFlag{Name: "work", Usage: "time a request takes", Value: 20 * time.Millisecond},
			&cli.DurationFlag{Name: "cold", Usage: "time after the first request in which requests take twice as long"},
		},
		Action: runBackend,
	}
}

func runBackend(ctx context.Context, c *cli.Command) error {
	n, err := (&net.ListenConfig{}).Listen(ctx, "tcp", c.String("listen"))
	if err != nil {
		return err
	}
	b := &backendstandin.Backendstandin{
		Clock: clockwork.NewRealClock(), Name: c.String("name"), Slots: c.Int("slots"),
		RequestDuration: c.Duration("work"), ColdFor: c.Duration("cold"),
	}
	logger().Info("backend stand-in serves", "Address", n.Addr(), "Name", b.Name)
	return (&httplisten.Httplisten{Listener: n, Handler: b, DrainTimeout: time.Second}).Run(ctx)
}
