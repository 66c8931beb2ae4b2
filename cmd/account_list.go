package cmd

import (
	"context"
	"strconv"

	"github.com/urfave/cli/v3"
)

func (m *Cmd) accountList() *cli.Command {
	return m.operatorCommand("list", "print the client accounts", "", m.runAccountList)
}

func (m *Cmd) runAccountList(ctx context.Context, c *cli.Command) error {
	v, err := m.currentConfig(ctx, c)
	if err != nil {
		return err
	}
	n := make(map[string]int)
	for _, k := range v.Keys {
		n[k.Account]++
	}
	return m.writeResult(c, v.Accounts, func() {
		r := [][]string{{"ACCOUNT", "RATE/S", "BURST", "WEIGHT", "KEYS"}}
		for _, a := range v.Accounts {
			r = append(r, []string{a.Name, formatFloat(a.Rate), formatFloat(a.Burst), formatFloat(a.Weight), strconv.Itoa(n[a.Name])})
		}
		m.writeTable(r)
	})
}

// formatFloat formats f with the fewest digits that represent it exactly.
func formatFloat(f float64) string {
	return strconv.FormatFloat(f, 'g', -1, 64)
}
