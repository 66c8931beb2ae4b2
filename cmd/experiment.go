package cmd

import "github.com/urfave/cli/v3"

func experimentCommand() *cli.Command {
	return &cli.Command{
		Name:     "experiment",
		Usage:    "measure a policy by simulation",
		Commands: []*cli.Command{experimentConfigCommand()},
	}
}
