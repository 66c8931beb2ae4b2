package cmd

import (
	"context"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/config"
)

func (m *Cmd) drainCommand() *cli.Command {
	return commandGroup("drain", "give no new work to a backend server, a failure domain or a region",
		m.drainTargetCommand("backend", "a backend server", func(v *config.Config, name string) *bool {
			for i := range v.Backends {
				if v.Backends[i].Name == name {
					return &v.Backends[i].Draining
				}
			}
			return nil
		}),
		m.drainTargetCommand("domain", "a failure domain", func(v *config.Config, name string) *bool {
			for i := range v.Domains {
				if v.Domains[i].Name == name {
					return &v.Domains[i].Draining
				}
			}
			return nil
		}),
		m.drainTargetCommand("region", "a region", func(v *config.Config, name string) *bool {
			for i := range v.Regions {
				if v.Regions[i].Name == name {
					return &v.Regions[i].Draining
				}
			}
			return nil
		}))
}

// drainTargetCommand returns the command that starts or ends the drain of one kind
// of target.
func (m *Cmd) drainTargetCommand(name, what string, find func(v *config.Config, name string) *bool) *cli.Command {
	f := append(waitFlags(), &cli.BoolFlag{Name: "end", Usage: "end the drain"})
	return m.operatorCommand(name, "drain "+what+", or end its drain with -end", "NAME", func(ctx context.Context, c *cli.Command) error {
		a, err := exactArgs(c, "NAME")
		if err != nil {
			return err
		}
		return m.editConfig(ctx, c, "", func(v *config.Config) error {
			d := find(v, a[0])
			if d == nil {
				return errors.Errorf("%s %q is not in the configuration", what, a[0])
			}
			*d = !c.Bool("end")
			return nil
		})
	}, f...)
}
