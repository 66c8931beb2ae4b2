package cmd

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/accepted"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/difference"
	"celeryreach.example/celeryreach/problem"
)

const (
	attempts  = 8
	catchUp   = 100 * time.Millisecond
	catchUpIn = 5 * time.Second
)

// changed tells programs what a command changed.
type changed struct {
	// Version is the accepted version.
	Version uint64
	// Differences are the command's own changes.
	Differences []difference.Difference
	// Key is an issued key, shown this once.
	Key string `json:",omitzero"`
	// Hosts tell where the version is in force, with -wait.
	Hosts []place `json:",omitzero"`
}

// conflict tells programs what clashed.
type conflict struct {
	// Version is the accepted version.
	Version uint64
	// Yours are the command's own changes. None is in force.
	Yours []difference.Difference
	// Theirs were accepted in between.
	Theirs []difference.Difference
}

func waitFlags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: "wait", Usage: "wait until the change is in force on every host, and tell on which it is"},
		&cli.DurationFlag{Name: "wait-for", Usage: "longest `TIME` to wait", Value: 15 * time.Second},
	}
}

// edit changes one thing of the configuration. When another change was
// accepted in between, it is made again on top of that one, unless both touch
// the same field: then the operator has to decide.
func (m *Cmd) edit(ctx context.Context, c *cli.Command, key string, apply func(c *config.Config) error) error {
	n, err := m.connect(c)
	if err != nil {
		return err
	}
	defer n.close()
	b, err := n.load(ctx)
	if err != nil {
		return err
	}
	for range attempts {
		v, err := clone(b)
		if err != nil {
			return err
		}
		if err := apply(v); err != nil {
			return err
		}
		d := difference.Between(b, v)
		if len(d) == 0 {
			return m.write(c, changed{Version: b.Version}, func() { m.printf("nothing to change in version %d\n", b.Version) })
		}
		a, err := n.change(ctx, b.Version, v)
		if err == nil {
			return m.accepted(ctx, c, n, changed{Version: a.Version, Differences: d, Key: key})
		}
		b, err = m.rebase(ctx, c, n, b, d, err)
		if err != nil {
			return err
		}
	}
	return errors.Errorf("%d attempts met %d other changes; nothing was changed", attempts, attempts)
}

// rebase returns the version that won, if the change can be made on top of it.
func (m *Cmd) rebase(ctx context.Context, c *cli.Command, n *connection, base *config.Config, mine []difference.Difference, cause error) (*config.Config, error) {
	var p *problem.Problem
	if !errors.As(cause, &p) || p.Problem != problem.Conflict {
		return nil, cause
	}
	l, err := m.reach(ctx, n, p.Accepted)
	if err != nil {
		return nil, err
	}
	if t := difference.Between(base, l); difference.Overlap(mine, t) {
		return nil, m.clash(c, conflict{Version: l.Version, Yours: mine, Theirs: t})
	}
	return l, nil
}

// reach loads the accepted version. The host that told the conflict may take a
// moment until it follows.
func (m *Cmd) reach(ctx context.Context, n *connection, a accepted.Accepted) (*config.Config, error) {
	x, f := context.WithTimeout(ctx, catchUpIn)
	defer f()
	for {
		l, err := n.load(x)
		if err != nil || l.Version >= a.Version {
			return l, err
		}
		select {
		case <-x.Done():
			return nil, errors.Errorf("version %d was accepted, and this host still has version %d", a.Version, l.Version)
		case <-m.Clock.After(catchUp):
		}
	}
}

func (m *Cmd) clash(c *cli.Command, f conflict) error {
	err := m.write(c, f, func() {
		m.printf("conflict: version %d was accepted in between; nothing was changed\n", f.Version)
		m.differences("your change:", f.Yours)
		m.differences("accepted in between:", f.Theirs)
	})
	if err != nil {
		return err
	}
	return &failure{code: exitConflict}
}

// accepted tells what was accepted and, with -wait, where it is in force.
func (m *Cmd) accepted(ctx context.Context, c *cli.Command, n *connection, r changed) error {
	// The next command that asks this host must see the change.
	_, l := m.reach(ctx, n, accepted.Accepted{Version: r.Version})
	a := true
	if c.Bool("wait") && n.client != nil {
		r.Hosts, a = m.everywhere(ctx, n, r.Version, c.Duration("wait-for"))
	}
	err := m.write(c, r, func() {
		m.printf("accepted as version %d\n", r.Version)
		for _, d := range r.Differences {
			m.printf("  %s\n", d)
		}
		if r.Key != "" {
			m.printf("key: %s\nIt is shown this once and stored only as a hash.\n", r.Key)
		}
		m.places(r.Version, r.Hosts)
	})
	switch {
	case err != nil:
		return err
	case l != nil:
		return &failure{code: exitNotEverywhere, text: l.Error()}
	case !a:
		return &failure{code: exitNotEverywhere, text: "not in force on every host"}
	}
	return nil
}

func clone(c *config.Config) (*config.Config, error) {
	b, err := codec.Marshal(c)
	if err != nil {
		return nil, errors.Wrap(err, "configuration")
	}
	n := new(config.Config)
	return n, errors.Wrap(codec.Unmarshal(b, n), "configuration")
}
