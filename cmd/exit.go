package cmd

import (
	"context"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/problem"
)

// Exit codes, as documented in description.
const (
	exitDone = iota
	exitFailed
	exitUsage
	exitConflict
	exitInvalid
	exitNotInForce
)

// exitError is an error with an exit code. The text is empty if the message was
// already printed.
type exitError struct {
	code int
	text string
}

// Error returns the text.
func (f *exitError) Error() string {
	return f.text
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var f *exitError
	if errors.As(err, &f) {
		return f.code
	}
	var p *problem.Problem
	if errors.As(err, &p) && p.Problem == problem.InvalidConfig {
		return exitInvalid
	}
	var e cli.ExitCoder
	if errors.As(err, &e) {
		return exitUsage
	}
	return exitFailed
}

func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return &exitError{code: exitUsage, text: err.Error()}
}

// exactArgs returns the arguments of a command, or a usage error unless there is
// exactly one argument for each of the given names.
func exactArgs(c *cli.Command, names ...string) ([]string, error) {
	a := c.Args().Slice()
	if len(a) == len(names) {
		return a, nil
	}
	t := "usage: " + c.FullName()
	for _, n := range names {
		t += " " + n
	}
	return nil, &exitError{code: exitUsage, text: t}
}

// withConflictCode gives a conflict its exit code.
func withConflictCode(err error) error {
	var p *problem.Problem
	if errors.As(err, &p) && p.Problem == problem.Conflict {
		return &exitError{code: exitConflict, text: p.Error()}
	}
	return err
}
