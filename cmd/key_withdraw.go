package cmd

import (
	"context"
	"slices"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/credential"
)

func (m *Cmd) keyWithdraw() *cli.Command {
	return m.operatorCommand("withdraw", "withdraw a key; with -wait, tell on how many hosts it no longer works", "ID", m.runKeyWithdraw,
		append(waitFlags(), operatorsFlag())...)
}

func (m *Cmd) runKeyWithdraw(ctx context.Context, c *cli.Command) error {
	a, err := exactArgs(c, "ID")
	if err != nil {
		return err
	}
	return m.editConfig(ctx, c, "", func(v *config.Config) error {
		l := credentials(c, v)
		n := len(*l)
		*l = slices.DeleteFunc(*l, func(k credential.Credential) bool { return k.ID == a[0] })
		if len(*l) == n {
			return errors.Errorf("there is no key %q", a[0])
		}
		if len(v.Operators) == 0 {
			return errors.New("this is the last operator's key: issue another one first")
		}
		return nil
	})
}
