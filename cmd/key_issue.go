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

// idSuffixLength is the number of random letters in a generated key ID. They
// distinguish the keys of an account.
const idSuffixLength = 6

func (m *Cmd) keyIssue() *cli.Command {
	f := append(waitFlags(), operatorsFlag(), &cli.StringFlag{Name: "id", Usage: "`ID` that names the key in commands and logs; drawn by default"})
	return m.operatorCommand("issue", "issue a key and show it this once", "ACCOUNT (with -operators: OPERATOR)", m.runKeyIssue, f...)
}

// runKeyIssue generates the key locally, so that only its hash is sent to the host
// and stored.
func (m *Cmd) runKeyIssue(ctx context.Context, c *cli.Command) error {
	a, err := exactArgs(c, "ACCOUNT")
	if err != nil {
		return err
	}
	s := rand.Text()
	k := credential.Credential{ID: c.String("id"), Account: a[0], Hash: credential.Hash(s)}
	if k.ID == "" {
		k.ID = a[0] + "-" + rand.Text()[:idSuffixLength]
	}
	if c.Bool("operators") {
		k.ID, k.Account = a[0], ""
	}
	return m.editConfig(ctx, c, s, func(v *config.Config) error {
		if k.Account != "" && !slices.ContainsFunc(v.Accounts, func(x account.Account) bool { return x.Name == k.Account }) {
			return errors.Errorf("there is no client account %q", k.Account)
		}
		l := credentials(c, v)
		if slices.ContainsFunc(*l, func(x credential.Credential) bool { return x.ID == k.ID }) {
			return errors.Errorf("there is a key %q already", k.ID)
		}
		*l = append(*l, k)
		return nil
	})
}
