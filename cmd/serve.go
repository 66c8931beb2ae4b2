package cmd

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/counter"
	"celeryreach.example/celeryreach/host"
	"celeryreach.example/celeryreach/platformclient"
	"celeryreach.example/celeryreach/settings"
)

const platformTimeout = 2 * time.Second

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:   "serve",
		Usage:  "run one entry host",
		Flags:  []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "settings `FILE`, JSON with comments", Required: true}},
		Action: runServe,
	}
}

func runServe(ctx context.Context, c *cli.Command) error {
	s, err := settings.Load(c.String("settings"))
	if err != nil {
		return err
	}
	p := &platformclient.Platformclient{URL: s.PlatformURL, Timeout: platformTimeout}
	h := &host.Host{
		Settings: s, Platform: p.Platform(), Clock: clockwork.NewRealClock(), Log: logger(),
		Incarnation: rand.Uint64(), Counter: &counter.Counter{Prefix: "Requests."},
	}
	return h.Run(ctx)
}
