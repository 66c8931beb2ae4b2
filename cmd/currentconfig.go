package cmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/config"
)

// currentConfig checks that the command has the named arguments and returns the
// configuration in force. It is for commands that make no other calls to the
// operators' interface.
func (m *Cmd) currentConfig(ctx context.Context, c *cli.Command, names ...string) (*config.Config, error) {
	if _, err := exactArgs(c, names...); err != nil {
		return nil, err
	}
	n, err := m.connect(c)
	if err != nil {
		return nil, err
	}
	defer n.close()
	return n.load(ctx)
}
