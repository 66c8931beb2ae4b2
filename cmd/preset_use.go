package cmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/config"
)

func (m *Cmd) presetUse() *cli.Command {
	return m.leaf("use", "put a preset in force", "PRESET", m.runPresetUse, waitFlags()...)
}

func (m *Cmd) runPresetUse(ctx context.Context, c *cli.Command) error {
	a, err := arguments(c, "PRESET")
	if err != nil {
		return err
	}
	return m.edit(ctx, c, "", func(v *config.Config) error {
		p, err := find(v, a[0])
		v.Preset = p.Name
		return err
	})
}
