package cmd

import (
	"context"

	"github.com/urfave/cli/v3"
)

// checked tells programs that a file is right.
type checked struct {
	// File is the file.
	File string
	// Backends, Accounts and Keys count its entries.
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
	a, err := arguments(c, "FILE")
	if err != nil {
		return err
	}
	f, err := m.sound(c, a[0])
	if err != nil {
		return err
	}
	r := checked{File: a[0], Backends: len(f.Backends), Accounts: len(f.Accounts), Keys: len(f.Keys)}
	return m.write(c, r, func() {
		m.printf("%s: no mistakes; %d backend servers, %d client accounts, %d keys\n", r.File, r.Backends, r.Accounts, r.Keys)
	})
}
