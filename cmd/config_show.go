package cmd

import (
	"context"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/codec"
)

func (m *Cmd) configShow() *cli.Command {
	return m.operatorCommand("show", "print the configuration in force, as a file for apply", "", m.runConfigShow, platformFlag())
}

func (m *Cmd) runConfigShow(ctx context.Context, c *cli.Command) error {
	v, err := m.currentConfig(ctx, c)
	if err != nil {
		return err
	}
	b, err := codec.MarshalIndent(v)
	if err != nil {
		return errors.Wrap(err, "configuration")
	}
	m.printf("%s\n", b)
	return nil
}
