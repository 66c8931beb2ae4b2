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
	return m.operatorCommand("apply", "make a configuration file the accepted version, if none was accepted since the one it was made from", "FILE",
		m.runConfigApply, f...)
}

func (m *Cmd) runConfigApply(ctx context.Context, c *cli.Command) error {
	a, err := exactArgs(c, "FILE")
	if err != nil {
		return err
	}
	f, err := m.readValidConfig(c, a[0])
	if err != nil {
		return err
	}
	v := f.Version
	if c.IsSet("from") {
		v = c.Uint64("from")
	}
	if v == 0 {
		return &exitError{code: exitUsage, text: "the file has no Version: say with -from which version it was made from"}
	}
	n, err := m.connect(c)
	if err != nil {
		return err
	}
	defer n.close()
	o, err := m.baseVersion(ctx, n, v)
	if err != nil {
		return err
	}
	p, err := n.commit(ctx, v, f)
	if err != nil {
		return m.reportApplyConflict(ctx, c, n, o, f, err)
	}
	return m.reportAccepted(ctx, c, n, changeResult{Version: p.Version, Differences: difference.Between(o, f)})
}

// baseVersion returns the version that the file is based on, or the newest
// version if the host no longer has the base version in its history.
func (m *Cmd) baseVersion(ctx context.Context, n *connection, version uint64) (*config.Config, error) {
	l, err := n.load(ctx)
	if err != nil || l.Version == version {
		return l, err
	}
	if o, err := n.loadVersion(ctx, version); err == nil {
		return o, nil
	}
	return l, nil
}

// reportApplyConflict prints both changes after a conflict. Files are never
// merged: the author of a file has seen all of it and is responsible for all of
// it.
func (m *Cmd) reportApplyConflict(ctx context.Context, c *cli.Command, n *connection, origin, file *config.Config, cause error) error {
	var p *problem.Problem
	if !errors.As(cause, &p) || p.Problem != problem.Conflict {
		return cause
	}
	l, err := m.awaitVersion(ctx, n, p.Accepted)
	if err != nil {
		return err
	}
	return m.reportConflict(c, conflictResult{Version: l.Version, Yours: difference.Between(origin, file), Theirs: difference.Between(origin, l)})
}
