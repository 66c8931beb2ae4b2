package cmd

import (
	"context"
	"net/netip"
	"os"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/block"
	"celeryreach.example/celeryreach/blockchunk"
	"celeryreach.example/celeryreach/blockpublish"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/platformclient"
)

// removeMarker is given in place of a region to remove a client block.
const removeMarker = "-"

func (m *Cmd) blockCommand() *cli.Command {
	return commandGroup("block", "client blocks, when there are too many for the configuration", &cli.Command{
		Name: "apply", Usage: "put client blocks on the platform, and remove some", ArgsUsage: "FILE",
		Description: `Each line of the file is an address range and its nearest region, or a range
and "-" to remove it. Blocks that the file does not name stay as they are.`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "platform", Usage: "`URL` of the platform", Required: true},
			&cli.BoolFlag{Name: "json", Usage: "write JSON"},
		},
		Action: m.runBlockApply, OnUsageError: usageError,
	})
}

func (m *Cmd) runBlockApply(ctx context.Context, c *cli.Command) error {
	a, err := exactArgs(c, "FILE")
	if err != nil {
		return err
	}
	b, err := os.ReadFile(a[0])
	if err != nil {
		return errors.Wrap(err, "client blocks")
	}
	l, err := blockchunk.Parse(b)
	if err != nil {
		return &exitError{code: exitInvalid, text: err.Error()}
	}
	p := (&platformclient.Platformclient{URL: c.String("platform"), Timeout: callTimeout}).Store()
	n, err := loadFromPlatform(ctx, p)
	if err != nil {
		return err
	}
	u, r, err := splitBlocks(n, l)
	if err != nil {
		return err
	}
	v, err := (&blockpublish.Blockpublish{Clock: clockwork.NewRealClock(), Store: p}).Change(ctx, u, r)
	if err != nil {
		return err
	}
	return m.writeResult(c, v, func() {
		m.printf("accepted as version %d: %d put, %d removed\n", v.Version, len(u), len(r))
	})
}

// splitBlocks separates the blocks to put from those to remove. It rejects
// unknown regions, because callers in a block of such a region would wait forever
// for hosts of that region.
func splitBlocks(c *config.Config, l []block.Block) (put []block.Block, remove []netip.Prefix, err error) {
	h := make(map[string]bool)
	for _, r := range c.Regions {
		h[r.Name] = true
	}
	for _, v := range l {
		switch {
		case v.Region == removeMarker:
			remove = append(remove, v.Prefix)
		case !h[v.Region]:
			return nil, nil, &exitError{code: exitInvalid, text: v.Prefix.String() + ": there is no region " + v.Region}
		default:
			put = append(put, v)
		}
	}
	return put, remove, nil
}
