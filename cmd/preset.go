package cmd

import (
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/preset"
)

func (m *Cmd) presetCommand() *cli.Command {
	return commandGroup("preset", "sets of policy, of which exactly one is in force", m.presetList(), m.presetUse(), m.presetShow())
}

// findPreset returns the preset with the given name.
func findPreset(v *config.Config, name string) (preset.Preset, error) {
	for _, p := range v.Presets {
		if p.Name == name {
			return p, nil
		}
	}
	return preset.Preset{}, errors.Errorf("there is no preset %q", name)
}
