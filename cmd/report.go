package cmd

import "github.com/urfave/cli/v3"

func (m *Cmd) reportCommand() *cli.Command {
	return commandGroup("report", "what all hosts have counted", m.reportBurn())
}
