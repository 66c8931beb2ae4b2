package cmd

import (
	"context"

	"github.com/urfave/cli/v3"
)

// operatorCommand returns a command with the flags common to all operators'
// commands.
func (m *Cmd) operatorCommand(name, usage, args string, action cli.ActionFunc, flags ...cli.Flag) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: args, Flags: append(connectionFlags(), flags...), Action: action,
		OnUsageError: usageError, HideHelpCommand: true,
	}
}

// commandGroup returns a command that only has subcommands.
func commandGroup(name, usage string, commands ...*cli.Command) *cli.Command {
	return &cli.Command{Name: name, Usage: usage, Commands: commands, OnUsageError: usageError, Action: missingSubcommand}
}

// runRoot handles a command line without a known command.
func runRoot(_ context.Context, c *cli.Command) error {
	if n := c.Args().First(); n != "" {
		return &exitError{code: exitUsage, text: "there is no command \"" + n + "\"; see celeryreach help"}
	}
	return cli.ShowRootCommandHelp(c)
}

// missingSubcommand rejects a call of a group without a known subcommand. Printing
// the help with exit code 0 would let a script continue after a typing error.
func missingSubcommand(_ context.Context, c *cli.Command) error {
	t := c.FullName() + ": one of its commands is needed:"
	for _, v := range c.Commands {
		if v.Name != "help" {
			t += " " + v.Name
		}
	}
	return &exitError{code: exitUsage, text: t}
}
