package cmd

import (
	"context"
	"strconv"

	"github.com/urfave/cli/v3"
)

func (m *Cmd) accountList() *cli.Command {
	return m.leaf("list", "print the client accounts", "", m.runAccountList)
}

func (m *Cmd) runAccountList(ctx context.Context, c *cli.Command) error {
	v, err := m.current(ctx, c)
	if err != nil {
		return err
	}
	n := make(map[string]int)
	for _, k := range v.Keys {
		n[k.Account]++
	}
	return m.write(c, v.Accounts, func() {
		r := [][]string{{"ACCOUNT", "RATE/S", "BURST", "WEIGHT", "KEYS"}}
		for _, a := range v.Accounts {
			r = append(r, []string{a.Name, number(a.Rate), number(a.Burst), number(a.Weight), strconv.Itoa(n[a.Name])})
		}
		m.table(r)
	})
}

func number(f float64) string {
	return strconv.FormatFloat(f, 'g', -1, 64)
}
