package cmd

import "github.com/urfave/cli/v3"

func (m *Cmd) accountCommand() *cli.Command {
	return commandGroup("account", "client accounts and their limits", m.accountList(), m.accountSet(), m.accountRemove())
}
