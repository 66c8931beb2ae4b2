package cmd

import (
	"context"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/codec"
)

func (m *Cmd) presetShow() *cli.Command {
	return m.operatorCommand("show", "print a preset", "PRESET", m.runPresetShow)
}

func (m *Cmd) runPresetShow(ctx context.Context, c *cli.Command) error {
	v, err := m.currentConfig(ctx, c, "PRESET")
	if err != nil {
		return err
	}
	p, err := findPreset(v, c.Args().First())
	if err != nil {
		return err
	}
	b, err := codec.MarshalIndent(p)
	if err != nil {
		return errors.Wrap(err, "preset")
	}
	m.printf("%s\n", b)
	return nil
}
