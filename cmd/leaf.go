package cmd

import (
	"context"

	"github.com/urfave/cli/v3"
)

// leaf is an operators' command with the common flags.
func (m *Cmd) leaf(name, usage, args string, action cli.ActionFunc, flags ...cli.Flag) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: args, Flags: append(connectionFlags(), flags...), Action: action,
		OnUsageError: usageError, HideHelpCommand: true,
	}
}

// group holds commands.
func group(name, usage string, commands ...*cli.Command) *cli.Command {
	return &cli.Command{Name: name, Usage: usage, Commands: commands, OnUsageError: usageError, Action: missing}
}

// root answers a command line without a command that exists.
func root(_ context.Context, c *cli.Command) error {
	if n := c.Args().First(); n != "" {
		return &failure{code: exitUsage, text: "there is no command \"" + n + "\"; see celeryreach help"}
	}
	return cli.ShowRootCommandHelp(c)
}

// missing refuses a group without a command of it: help with exit code 0 would
// make a script go on after a slip.
func missing(_ context.Context, c *cli.Command) error {
	t := c.FullName() + ": one of its commands is needed:"
	for _, v := range c.Commands {
		if v.Name != "help" {
			t += " " + v.Name
		}
	}
	return &failure{code: exitUsage, text: t}
}
