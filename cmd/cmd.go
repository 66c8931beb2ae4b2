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
	c := &cli.Command{
		Name:                  "celeryreach",
		Usage:                 "steer requests from callers toward backend servers",
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			demoCommand(),
			serveCommand(),
			platformCommand(),
			backendCommand(),
			{Name: "experiment", Usage: "measure a policy by simulation", Commands: []*cli.Command{experimentQueueCommand()}},
		},
	}
	if err := c.Run(ctx, args); err != nil {
		fmt.Fprintln(os.Stderr, "celeryreach:", err)
		return 1
	}
	return 0
}
