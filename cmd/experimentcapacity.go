package cmd

import (
	"bytes"
	"context"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/capacity"
	"celeryreach.example/celeryreach/targetsize"
)

// tablesMarker is the line of the page that precedes the tables.
const tablesMarker = "<!-- tables -->\n"

func (m *Cmd) experimentCapacityCommand() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "measure the slopes behind docs/CAPACITY.md and print its tables",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "short", Usage: "measure at a hundredth of the sizes"},
			&cli.StringFlag{Name: "page", Usage: "write the tables into `FILE` instead of printing them"},
		},
		Action: m.runExperimentCapacity,
	}
}

func (m *Cmd) runExperimentCapacity(ctx context.Context, c *cli.Command) error {
	var b bytes.Buffer
	v := &capacity.Capacity{Clock: m.Clock, Target: targetsize.New(), Out: &b, Short: c.Bool("short")}
	if err := v.Run(ctx); err != nil {
		return err
	}
	p := c.String("page")
	if p == "" {
		_, err := m.Out.Write(b.Bytes())
		return err
	}
	o, err := os.ReadFile(p)
	if err != nil {
		return err
	}
	h, _, ok := bytes.Cut(o, []byte(tablesMarker))
	if !ok {
		return errors.Errorf("%s: there is no line %q after which the tables could stand", p, tablesMarker)
	}
	return os.WriteFile(p, append(append(h, tablesMarker...), b.Bytes()...), 0o600)
}
