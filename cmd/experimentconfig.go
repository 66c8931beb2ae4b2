package cmd

import (
	"context"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/configbenchmark"
	"celeryreach.example/celeryreach/relaybenchmark"
)

// relayContentBytes is the size of the configuration that is relayed in the
// simulated fleets, about 1,000 client accounts.
const relayContentBytes = 200_000

func experimentConfigCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "measure how long a change of the configuration takes until it is in force on every host",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "changes", Usage: "number of changes", Value: 50},
			&cli.IntFlag{Name: "accounts", Usage: "number of client accounts", Value: 8},
			&cli.IntSliceFlag{Name: "fleet", Usage: "also simulate the relay in fleets of these numbers of hosts", Value: []int{100, 1000, 7900}},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			l := logger()
			l.SetLevel(log.ErrorLevel)
			t := &configbenchmark.Configbenchmark{
				Clock: clockwork.NewRealClock(), Out: c.Root().Writer, Log: l,
				Changes: c.Int("changes"), Accounts: c.Int("accounts"),
			}
			if err := t.Run(ctx); err != nil {
				return err
			}
			for _, n := range c.IntSlice("fleet") {
				r := &relaybenchmark.Relaybenchmark{Out: c.Root().Writer, Hosts: n, Sites: max(1, n*850/7900), Domains: min(27, max(1, n*850/7900)), Content: relayContentBytes}
				if err := r.Run(ctx); err != nil {
					return err
				}
			}
			return nil
		},
	}
}
