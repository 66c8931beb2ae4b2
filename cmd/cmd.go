// Package cmd is the command line.
package cmd

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// Main runs the command line and returns the exit code: 0 when the command did
// its work, 1 when it failed.
func Main(args []string) int {
	ctx, f := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer f()
	// The first signal begins the graceful shutdown and gives the signals back
	// to the system, so that a second one ends the process at once.
	defer context.AfterFunc(ctx, f)()
	c := &cli.Command{
		Name:                  "celeryreach",
		Usage:                 "steer requests from callers toward backend servers",
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			demoCommand(),
			serveCommand(),
			platformCommand(),
			backendCommand(),
		},
	}
	if err := c.Run(ctx, args); err != nil {
		fmt.Fprintln(os.Stderr, "celeryreach:", err)
		return 1
	}
	return 0
}
