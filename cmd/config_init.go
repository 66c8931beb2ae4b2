package cmd

import (
	"context"
	"crypto/rand"

	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/credential"
)

// firstOperatorID is the ID of the operator's key that config init issues.
const firstOperatorID = "first-operator"

func (m *Cmd) configInit() *cli.Command {
	return &cli.Command{
		Name:      "init",
		Usage:     "put the first configuration of a new deployment on the platform, and issue the first operator's key",
		ArgsUsage: "FILE",
		Description: `A new deployment has no operators' keys, so no host can let anybody in.
Whoever may write to the platform may begin. The command fails when the
platform has a configuration already.`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "platform", Usage: "`URL` of the platform", Required: true},
			&cli.BoolFlag{Name: "json", Usage: "write JSON"},
		},
		Action: m.runConfigInit, OnUsageError: usageError,
	}
}

func (m *Cmd) runConfigInit(ctx context.Context, c *cli.Command) error {
	a, err := exactArgs(c, "FILE")
	if err != nil {
		return err
	}
	f, err := m.readValidConfig(c, a[0])
	if err != nil {
		return err
	}
	k := ""
	if len(f.Operators) == 0 {
		k = rand.Text()
		f.Operators = append(f.Operators, credential.Credential{ID: firstOperatorID, Hash: credential.Hash(k)})
	}
	n, err := m.connect(c)
	if err != nil {
		return err
	}
	defer n.close()
	v, err := n.commit(ctx, 0, f)
	if err != nil {
		return withConflictCode(err)
	}
	return m.writeResult(c, changeResult{Version: v.Version, Key: k}, func() {
		m.printf("accepted as version %d\n", v.Version)
		if k != "" {
			m.printf("operator %s, key: %s\nIt is shown this once and stored only as a hash.\n", firstOperatorID, k)
		}
	})
}
