package cmd

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/acceptedversion"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/difference"
	"celeryreach.example/celeryreach/problem"
)

const (
	maxEditAttempts     = 8
	versionPollInterval = 100 * time.Millisecond
	versionPollTimeout  = 5 * time.Second
)

// changeResult is the JSON output of commands that change the configuration.
type changeResult struct {
	// Version is the accepted version.
	Version uint64
	// Differences lists the changes made by the command.
	Differences []difference.Difference
	// Key is a newly issued key. It is not shown again.
	Key string `json:",omitzero"`
	// Hosts lists the version in force on each host, with -wait.
	Hosts []hostVersion `json:",omitzero"`
}

// conflictResult is the JSON output for a change that conflicts with another one.
type conflictResult struct {
	// Version is the accepted version.
	Version uint64
	// Yours lists the changes of the command. None of them is in force.
	Yours []difference.Difference
	// Theirs lists the changes that were accepted since the base version.
	Theirs []difference.Difference
}

func waitFlags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: "wait", Usage: "wait until the change is in force on every host, and tell on which it is"},
		&cli.DurationFlag{Name: "wait-for", Usage: "longest `TIME` to wait", Value: 15 * time.Second},
	}
}

// editConfig applies a change to the configuration. If another change was accepted
// in the meantime, editConfig applies its change again to the new version. If both
// changes modify the same field, editConfig reports a conflict, which the operator
// has to resolve.
func (m *Cmd) editConfig(ctx context.Context, c *cli.Command, key string, apply func(c *config.Config) error) error {
	n, err := m.connect(c)
	if err != nil {
		return err
	}
	defer n.close()
	b, err := n.load(ctx)
	if err != nil {
		return err
	}
	for range maxEditAttempts {
		v, err := cloneConfig(b)
		if err != nil {
			return err
		}
		if err := apply(v); err != nil {
			return err
		}
		d := difference.Between(b, v)
		if len(d) == 0 {
			return m.writeResult(c, changeResult{Version: b.Version}, func() { m.printf("nothing to change in version %d\n", b.Version) })
		}
		a, err := n.commit(ctx, b.Version, v)
		if err == nil {
			return m.reportAccepted(ctx, c, n, changeResult{Version: a.Version, Differences: d, Key: key})
		}
		b, err = m.rebase(ctx, c, n, b, d, err)
		if err != nil {
			return err
		}
	}
	return errors.Errorf("%d attempts met %d other changes; nothing was changed", maxEditAttempts, maxEditAttempts)
}

// rebase returns the configuration that was accepted in the meantime, if the
// differences in mine can be applied to it. Otherwise it returns an error.
func (m *Cmd) rebase(ctx context.Context, c *cli.Command, n *connection, base *config.Config, mine []difference.Difference, cause error) (*config.Config, error) {
	var p *problem.Problem
	if !errors.As(cause, &p) || p.Problem != problem.Conflict {
		return nil, cause
	}
	l, err := m.awaitVersion(ctx, n, p.Accepted)
	if err != nil {
		return nil, err
	}
	if t := difference.Between(base, l); difference.Overlap(mine, t) {
		return nil, m.reportConflict(c, conflictResult{Version: l.Version, Yours: mine, Theirs: t})
	}
	return l, nil
}

// awaitVersion waits until the host has the accepted version or a later one, and
// returns the host's configuration. The wait is necessary because a host that reports
// a conflict may apply the accepted version only shortly afterwards.
func (m *Cmd) awaitVersion(ctx context.Context, n *connection, a acceptedversion.Acceptedversion) (*config.Config, error) {
	x, f := context.WithTimeout(ctx, versionPollTimeout)
	defer f()
	for {
		l, err := n.load(x)
		if err != nil || l.Version >= a.Version {
			return l, err
		}
		select {
		case <-x.Done():
			return nil, errors.Errorf("version %d was accepted, and this host still has version %d", a.Version, l.Version)
		case <-m.Clock.After(versionPollInterval):
		}
	}
}

// reportConflict prints both changes and returns the error that sets the exit
// code.
func (m *Cmd) reportConflict(c *cli.Command, f conflictResult) error {
	err := m.writeResult(c, f, func() {
		m.printf("conflict: version %d was accepted in between; nothing was changed\n", f.Version)
		m.writeDifferences("your change:", f.Yours)
		m.writeDifferences("accepted in between:", f.Theirs)
	})
	if err != nil {
		return err
	}
	return &exitError{code: exitConflict}
}

// reportAccepted prints the accepted change and, with -wait, the hosts on which it
// is in force.
func (m *Cmd) reportAccepted(ctx context.Context, c *cli.Command, n *connection, r changeResult) error {
	// The next command sent to this host must see the change.
	_, l := m.awaitVersion(ctx, n, acceptedversion.Acceptedversion{Version: r.Version})
	a := true
	if c.Bool("wait") && n.client != nil {
		r.Hosts, a = m.awaitRollout(ctx, n, r.Version, c.Duration("wait-for"))
	}
	err := m.writeResult(c, r, func() {
		m.printf("accepted as version %d\n", r.Version)
		for _, d := range r.Differences {
			m.printf("  %s\n", d)
		}
		if r.Key != "" {
			m.printf("key: %s\nIt is shown this once and stored only as a hash.\n", r.Key)
		}
		m.writeHostVersions(r.Version, r.Hosts)
	})
	switch {
	case err != nil:
		return err
	case l != nil:
		return &exitError{code: exitNotInForce, text: l.Error()}
	case !a:
		return &exitError{code: exitNotInForce, text: "not in force on every host"}
	}
	return nil
}

// cloneConfig returns a deep copy of c.
func cloneConfig(c *config.Config) (*config.Config, error) {
	b, err := codec.Marshal(c)
	if err != nil {
		return nil, errors.Wrap(err, "configuration")
	}
	n := new(config.Config)
	return n, errors.Wrap(codec.Unmarshal(b, n), "configuration")
}
