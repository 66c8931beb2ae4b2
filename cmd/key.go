package cmd

import (
	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/credential"
)

func (m *Cmd) keyCommand() *cli.Command {
	return commandGroup("key", "keys of client accounts and of operators", m.keyIssue(), m.keyWithdraw(), m.keyList())
}

func operatorsFlag() cli.Flag {
	return &cli.BoolFlag{Name: "operators", Usage: "operators' keys, not those of client accounts"}
}

// credentials returns the list of keys that a command applies to.
func credentials(c *cli.Command, v *config.Config) *[]credential.Credential {
	if c.Bool("operators") {
		return &v.Operators
	}
	return &v.Keys
}
