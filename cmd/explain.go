package cmd

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/explain"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "follow one request through the logs of hosts",
		ArgsUsage: "ID FILE...",
		Description: `Prints, for each host that had the request, what it believed when the request
came (configuration, store, the backend servers concerned) and each decision on it.`,
		Action: runExplain, OnUsageError: usageError,
	}
}

func runExplain(_ context.Context, c *cli.Command) error {
	a := c.Args().Slice()
	if len(a) < 2 {
		return &exitError{code: exitUsage, text: "the id of a request and one log file or more are needed"}
	}
	e := &explain.Explain{Request: a[0]}
	for _, n := range a[1:] {
		f, err := os.Open(n)
		if err != nil {
			return err
		}
		err = e.Read(n, f)
		_ = f.Close()
		if err != nil {
			return err
		}
	}
	return e.Write(c.Root().Writer)
}
