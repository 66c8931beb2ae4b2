package cmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/config"
)

func (m *Cmd) presetUse() *cli.Command {
	return m.operatorCommand("use", "put a preset in force", "PRESET", m.runPresetUse, waitFlags()...)
}

func (m *Cmd) runPresetUse(ctx context.Context, c *cli.Command) error {
	a, err := exactArgs(c, "PRESET")
	if err != nil {
		return err
	}
	return m.editConfig(ctx, c, "", func(v *config.Config) error {
		p, err := findPreset(v, a[0])
		v.Preset = p.Name
		return err
	})
}
