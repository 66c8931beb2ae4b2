package cmd

import (
	"context"

	"github.com/urfave/cli/v3"
)

func (m *Cmd) presetList() *cli.Command {
	return m.operatorCommand("list", "print the presets and which one is in force", "", m.runPresetList)
}

func (m *Cmd) runPresetList(ctx context.Context, c *cli.Command) error {
	v, err := m.currentConfig(ctx, c)
	if err != nil {
		return err
	}
	return m.writeResult(c, v.Presets, func() {
		r := [][]string{{"PRESET", "IN FORCE", "SHIFT CAP", "HEADROOM", "MAX WAIT", "LOOK-UP TTL"}}
		for _, p := range v.Presets {
			f := ""
			if p.Name == v.Preset {
				f = "yes"
			}
			r = append(r, []string{p.Name, f, formatFloat(p.ShiftCap), formatFloat(p.Headroom), p.MaxWait.String(), p.LookupTTL.String()})
		}
		m.writeTable(r)
	})
}
