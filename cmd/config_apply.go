package cmd

import (
	"context"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/difference"
	"celeryreach.example/celeryreach/problem"
)

func (m *Cmd) configApply() *cli.Command {
	f := append(waitFlags(), platformFlag(),
		&cli.Uint64Flag{Name: "from", Usage: "`VERSION` that the file was made from, in place of the Version in it"})
	return m.leaf("apply", "make a configuration file the accepted version, if none was accepted since the one it was made from", "FILE",
		m.runConfigApply, f...)
}

func (m *Cmd) runConfigApply(ctx context.Context, c *cli.Command) error {
	a, err := arguments(c, "FILE")
	if err != nil {
		return err
	}
	f, err := m.sound(c, a[0])
	if err != nil {
		return err
	}
	v := f.Version
	if c.IsSet("from") {
		v = c.Uint64("from")
	}
	if v == 0 {
		return &failure{code: exitUsage, text: "the file has no Version: say with -from which version it was made from"}
	}
	n, err := m.connect(c)
	if err != nil {
		return err
	}
	defer n.close()
	o, err := m.origin(ctx, n, v)
	if err != nil {
		return err
	}
	p, err := n.change(ctx, v, f)
	if err != nil {
		return m.tooLate(ctx, c, n, o, f, err)
	}
	return m.accepted(ctx, c, n, changed{Version: p.Version, Differences: difference.Between(o, f)})
}

// origin returns the version that the file was made from, or the newest one
// when the host no longer remembers it.
func (m *Cmd) origin(ctx context.Context, n *connection, version uint64) (*config.Config, error) {
	l, err := n.load(ctx)
	if err != nil || l.Version == version {
		return l, err
	}
	if o, err := n.former(ctx, version); err == nil {
		return o, nil
	}
	return l, nil
}

// tooLate shows both changes after a conflict. A file is never merged: whoever
// wrote it has seen all of it and takes the responsibility for all of it.
func (m *Cmd) tooLate(ctx context.Context, c *cli.Command, n *connection, origin, file *config.Config, cause error) error {
	var p *problem.Problem
	if !errors.As(cause, &p) || p.Problem != problem.Conflict {
		return cause
	}
	l, err := m.reach(ctx, n, p.Accepted)
	if err != nil {
		return err
	}
	return m.clash(c, conflict{Version: l.Version, Yours: difference.Between(origin, file), Theirs: difference.Between(origin, l)})
}
