// Package cmd is the command line.
package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jonboulle/clockwork"
	"github.com/urfave/cli/v3"
)

const description = `Exit codes:
  0  done
  1  failed, or the outcome is not known
  2  the command line is wrong
  3  conflict: another change was accepted in between, nothing was changed
  4  the document has mistakes, nothing was changed
  5  accepted, but not in force on every host when -wait ended`

// Cmd is one run of the command line.
type Cmd struct {
	// Out receives what was asked for.
	Out io.Writer
	// Err receives why it failed.
	Err io.Writer
	// Getenv returns variables of the environment.
	Getenv func(name string) string
	// Clock is the clock of the command.
	Clock clockwork.Clock
}

// Main runs the command line of the process and returns the exit code.
func Main(args []string) int {
	ctx, f := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer f()
	// The first signal begins the graceful shutdown and gives the signals back
	// to the system, so that a second one ends the process at once.
	defer context.AfterFunc(ctx, f)()
	m := &Cmd{Out: os.Stdout, Err: os.Stderr, Getenv: os.Getenv, Clock: clockwork.NewRealClock()}
	return m.Run(ctx, args)
}

// Run runs one command and returns the exit code.
func (m *Cmd) Run(ctx context.Context, args []string) int {
	c := &cli.Command{
		Name:                  "celeryreach",
		Usage:                 "steer requests from callers toward backend servers",
		Description:           description,
		EnableShellCompletion: true,
		Writer:                m.Out,
		ErrWriter:             m.Err,
		Suggest:               true,
		// The default handler ends the process, which a test is too.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   usageError,
		Action:         root,
		Commands:       m.commands(),
	}
	err := c.Run(ctx, args)
	if err == nil {
		return exitDone
	}
	if t := err.Error(); t != "" {
		fmt.Fprintln(m.Err, "celeryreach:", t)
	}
	return code(err)
}

func (m *Cmd) commands() []*cli.Command {
	return []*cli.Command{
		demoCommand(),
		serveCommand(),
		steerCommand(),
		platformCommand(),
		backendCommand(),
		m.configCommand(),
		m.accountCommand(),
		m.keyCommand(),
		m.presetCommand(),
		m.drainCommand(),
		m.statusCommand(),
		m.reportCommand(),
		m.lookupCommand(),
		m.blockCommand(),
		m.experimentCommand(),
		stressCommand(),
		explainCommand(),
	}
}
