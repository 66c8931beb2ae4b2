package cmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/config"
)

// currentConfig returns the configuration in force, for commands that take the
// named arguments and make no other calls to the operators' interface.
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
