// Package cmd implements the command line.
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

// Cmd holds the environment of one run of the command line.
type Cmd struct {
	// Out receives the output of the command.
	Out io.Writer
	// Err receives error messages.
	Err io.Writer
	// Getenv returns the value of an environment variable.
	Getenv func(name string) string
	// Clock is the clock that commands use.
	Clock clockwork.Clock
}

// Main runs the command line of the process and returns the exit code.
func Main(args []string) int {
	ctx, f := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer f()
	ctx, g := signal.NotifyContext(ctx, os.Interrupt)
	// The first signal starts the graceful shutdown and restores the default handling of
	// SIGINT, so that a person can end the process at once. Further SIGTERMs change
	// nothing: a platform may repeat them, and ends what takes too long with SIGKILL.
	defer context.AfterFunc(ctx, g)()
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
		// The default handler would exit the process, including that of a test.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   usageError,
		Action:         runRoot,
		Commands:       m.commands(),
	}
	err := c.Run(ctx, args)
	if err == nil {
		return exitDone
	}
	if t := err.Error(); t != "" {
		fmt.Fprintln(m.Err, "celeryreach:", t)
	}
	return exitCode(err)
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
