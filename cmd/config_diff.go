package cmd

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/difference"
)

func (m *Cmd) configDiff() *cli.Command {
	return m.operatorCommand("diff", "print what a configuration file would change", "FILE", m.runConfigDiff, platformFlag())
}

func (m *Cmd) runConfigDiff(ctx context.Context, c *cli.Command) error {
	a, err := exactArgs(c, "FILE")
	if err != nil {
		return err
	}
	f, err := m.readValidConfig(c, a[0])
	if err != nil {
		return err
	}
	n, err := m.connect(c)
	if err != nil {
		return err
	}
	defer n.close()
	v, err := n.load(ctx)
	if err != nil {
		return err
	}
	d := difference.Between(v, f)
	return m.writeResult(c, d, func() {
		m.writeDifferences(fmt.Sprintf("%d differences from version %d to %s", len(d), v.Version, a[0]), d)
	})
}
