package cmd

import (
	"context"
	"slices"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/credential"
)

func (m *Cmd) accountRemove() *cli.Command {
	return m.operatorCommand("remove", "remove a client account and withdraw its keys", "ACCOUNT", m.runAccountRemove, waitFlags()...)
}

func (m *Cmd) runAccountRemove(ctx context.Context, c *cli.Command) error {
	a, err := exactArgs(c, "ACCOUNT")
	if err != nil {
		return err
	}
	return m.editConfig(ctx, c, "", func(v *config.Config) error {
		n := len(v.Accounts)
		v.Accounts = slices.DeleteFunc(v.Accounts, func(x account.Account) bool { return x.Name == a[0] })
		if len(v.Accounts) == n {
			return errors.Errorf("there is no client account %q", a[0])
		}
		v.Keys = slices.DeleteFunc(v.Keys, func(k credential.Credential) bool { return k.Account == a[0] })
		return nil
	})
}
