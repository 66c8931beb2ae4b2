package cmd

import (
	"context"
	"crypto/rand"
	"slices"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/credential"
)

// idLetters is how many random letters tell the keys of an account apart.
const idLetters = 6

func (m *Cmd) keyIssue() *cli.Command {
	f := append(waitFlags(), operatorsFlag(), &cli.StringFlag{Name: "id", Usage: "`ID` that names the key in commands and logs; drawn by default"})
	return m.leaf("issue", "issue a key and show it this once", "ACCOUNT (with -operators: OPERATOR)", m.runKeyIssue, f...)
}

// runKeyIssue draws the key here: what travels to the host and is stored is
// its hash.
func (m *Cmd) runKeyIssue(ctx context.Context, c *cli.Command) error {
	a, err := arguments(c, "ACCOUNT")
	if err != nil {
		return err
	}
	s := rand.Text()
	k := credential.Credential{ID: c.String("id"), Account: a[0], Hash: credential.Hash(s)}
	if k.ID == "" {
		k.ID = a[0] + "-" + rand.Text()[:idLetters]
	}
	if c.Bool("operators") {
		k.ID, k.Account = a[0], ""
	}
	return m.edit(ctx, c, s, func(v *config.Config) error {
		if k.Account != "" && !slices.ContainsFunc(v.Accounts, func(x account.Account) bool { return x.Name == k.Account }) {
			return errors.Errorf("there is no client account %q", k.Account)
		}
		l := keys(c, v)
		if slices.ContainsFunc(*l, func(x credential.Credential) bool { return x.ID == k.ID }) {
			return errors.Errorf("there is a key %q already", k.ID)
		}
		*l = append(*l, k)
		return nil
	})
}
