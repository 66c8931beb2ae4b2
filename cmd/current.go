package cmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/config"
)

// current returns the configuration in force for a command without arguments.
func (m *Cmd) current(ctx context.Context, c *cli.Command) (*config.Config, error) {
	if _, err := arguments(c); err != nil {
		return nil, err
	}
	n, err := m.connect(c)
	if err != nil {
		return nil, err
	}
	defer n.close()
	return n.load(ctx)
}
