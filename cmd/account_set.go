package cmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/config"
)

func (m *Cmd) accountSet() *cli.Command {
	f := append(waitFlags(),
		&cli.FloatFlag{Name: "rate", Usage: "sustained limit, `REQUESTS` a second over all hosts together"},
		&cli.FloatFlag{Name: "burst", Usage: "`REQUESTS` that may arrive at once above the rate"},
		&cli.FloatFlag{Name: "weight", Usage: "`PART` of a contended queue; zero means one"})
	return m.operatorCommand("set", "create a client account or change its limits", "ACCOUNT", m.runAccountSet, f...)
}

func (m *Cmd) runAccountSet(ctx context.Context, c *cli.Command) error {
	a, err := exactArgs(c, "ACCOUNT")
	if err != nil {
		return err
	}
	return m.editConfig(ctx, c, "", func(v *config.Config) error {
		for i := range v.Accounts {
			if v.Accounts[i].Name == a[0] {
				applyLimits(c, &v.Accounts[i])
				return nil
			}
		}
		if !c.IsSet("rate") || !c.IsSet("burst") {
			return &exitError{code: exitUsage, text: "a new account needs -rate and -burst"}
		}
		n := account.Account{Name: a[0]}
		applyLimits(c, &n)
		v.Accounts = append(v.Accounts, n)
		return nil
	})
}

// applyLimits sets the limits of a for which a flag is given.
func applyLimits(c *cli.Command, a *account.Account) {
	for f, v := range map[string]*float64{"rate": &a.Rate, "burst": &a.Burst, "weight": &a.Weight} {
		if c.IsSet(f) {
			*v = c.Float(f)
		}
	}
}
