package cmd

import (
	"context"

	"github.com/urfave/cli/v3"
)

func (m *Cmd) keyList() *cli.Command {
	return m.operatorCommand("list", "print the keys that work, by their ids", "", m.runKeyList, operatorsFlag())
}

func (m *Cmd) runKeyList(ctx context.Context, c *cli.Command) error {
	v, err := m.currentConfig(ctx, c)
	if err != nil {
		return err
	}
	l := *credentials(c, v)
	return m.writeResult(c, l, func() {
		r := [][]string{{"KEY", "ACCOUNT"}}
		for _, k := range l {
			r = append(r, []string{k.ID, k.Account})
		}
		m.writeTable(r)
	})
}
