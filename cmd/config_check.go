package cmd

import (
	"context"

	"github.com/urfave/cli/v3"
)

// checkResult is the JSON output of config check for a valid file.
type checkResult struct {
	// File is the path of the file.
	File string
	// Backends, Accounts and Keys are the numbers of entries in the file.
	Backends int
	Accounts int
	Keys     int
}

func (m *Cmd) configCheck() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "report every mistake of a configuration file, with line and field", ArgsUsage: "FILE",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "write JSON"}}, Action: m.runConfigCheck, OnUsageError: usageError,
	}
}

func (m *Cmd) runConfigCheck(_ context.Context, c *cli.Command) error {
	a, err := exactArgs(c, "FILE")
	if err != nil {
		return err
	}
	f, err := m.readValidConfig(c, a[0])
	if err != nil {
		return err
	}
	r := checkResult{File: a[0], Backends: len(f.Backends), Accounts: len(f.Accounts), Keys: len(f.Keys)}
	return m.writeResult(c, r, func() {
		m.printf("%s: no mistakes; %d backend servers, %d client accounts, %d keys\n", r.File, r.Backends, r.Accounts, r.Keys)
	})
}
