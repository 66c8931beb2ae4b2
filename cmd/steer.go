package cmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/logsink"
	"celeryreach.example/celeryreach/platform"
)

// bootVariable is the environment variable with the path of the settings file that
// the users' platform writes.
const bootVariable = "CELERYREACH_BOOT"

func steerCommand() *cli.Command {
	return &cli.Command{
		Name:  "steer",
		Usage: "run one entry host on the users' platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE` of the platform", Sources: cli.EnvVars(bootVariable), Required: true},
			&cli.BoolFlag{Name: "check", Usage: "report every mistake of the settings, with line and field, and end"},
		},
		Action: runSteer, OnUsageError: usageError,
	}
}

func runSteer(ctx context.Context, c *cli.Command) error {
	// The default action of SIGHUP ends the process, so it is caught until the end, also
	// while the host starts or shuts down.
	h := make(chan os.Signal, 1)
	signal.Notify(h, syscall.SIGHUP)
	ignoreLogReaderEnd()
	k := clockwork.NewRealClock()
	s := logsink.New(k, os.Stdout)
	x, f := context.WithCancel(context.WithoutCancel(ctx))
	d := make(chan struct{})
	go func() {
		defer close(d)
		_ = s.Run(x) // Run returns no error when x is canceled
	}()
	defer func() { f(); <-d }()
	p := &platform.Platform{Path: c.String("settings"), Clock: k, Log: log.NewWithOptions(s, logOptions), Reload: h}
	e, err := p.Check()
	if err != nil {
		return &exitError{code: exitInvalid, text: err.Error()}
	}
	if len(e) > 0 {
		return &exitError{code: exitInvalid, text: formatMistakes(p.Path, e)}
	}
	if c.Bool("check") {
		return nil
	}
	return p.Run(ctx)
}

// ignoreLogReaderEnd makes the log lines fail whose reader has ended. Otherwise the first of
// them would end the process at once, with the requests in flight: a platform may end the
// reader together with the host.
func ignoreLogReaderEnd() {
	signal.Ignore(syscall.SIGPIPE)
}
