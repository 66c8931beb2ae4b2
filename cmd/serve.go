package cmd

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os/signal"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/counter"
	"celeryreach.example/celeryreach/host"
	"celeryreach.example/celeryreach/mistake"
	"celeryreach.example/celeryreach/platformclient"
	"celeryreach.example/celeryreach/settings"
)

const platformTimeout = 2 * time.Second

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run one entry host",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE`, JSON with comments", Required: true},
			&cli.BoolFlag{Name: "check", Usage: "report every mistake of the settings, with line and field, and end"},
		},
		Action: runServe, OnUsageError: usageError,
	}
}

func runServe(ctx context.Context, c *cli.Command) error {
	n := c.String("settings")
	s, e, err := settings.Load(n)
	if err != nil {
		return &exitError{code: exitInvalid, text: err.Error()}
	}
	if len(e) > 0 {
		return &exitError{code: exitInvalid, text: formatMistakes(n, e)}
	}
	if c.Bool("check") {
		fmt.Fprintf(c.Root().Writer, "%s: no mistakes\n", n)
		return nil
	}
	// Without this, SIGHUP would end the process at once, with the requests in flight.
	ctx, f := signal.NotifyContext(ctx, syscall.SIGHUP)
	defer f()
	ignoreLogReaderEnd()
	p := &platformclient.Platformclient{URL: s.PlatformURL, Timeout: platformTimeout}
	h := &host.Host{
		Settings: s, Store: p.Store(), Clock: clockwork.NewRealClock(), Log: logger(),
		Incarnation: rand.Uint64(), Counter: &counter.Counter{Prefix: "Requests."},
	}
	defer p.Close()
	return h.Run(ctx)
}

// formatMistakes returns the number of mistakes and each mistake on its own line.
func formatMistakes(file string, e []mistake.Mistake) string {
	t := fmt.Sprintf("%d mistakes", len(e))
	for _, v := range e {
		t += fmt.Sprintf("\n%s: %s", file, v)
	}
	return t
}
