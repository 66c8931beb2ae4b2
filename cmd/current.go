package cmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/config"
)

// current returns the configuration in force for a command that takes the
// named arguments and needs the operators' interface for nothing else.
func (m *Cmd) current(ctx context.Context, c *cli.Command, names ...string) (*config.Config, error) {
	if _, err := arguments(c, names...); err != nil {
		return nil, err
	}
	n, err := m.connect(c)
	if err != nil {
		return nil, err
	}
	defer n.close()
	return n.load(ctx)
}
