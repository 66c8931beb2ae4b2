package cmd

import (
	"context"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"celeryreach.example/celeryreach/problem"
)

// Exit codes, told in the help.
const (
	exitDone = iota
	exitFailed
	exitUsage
	exitConflict
	exitMistakes
	exitNotEverywhere
)

// failure is an error with an exit code. An empty text was told already.
type failure struct {
	code int
	text string
}

// Error returns the text.
func (f *failure) Error() string {
	return f.text
}

func code(err error) int {
	var f *failure
	if errors.As(err, &f) {
		return f.code
	}
	var p *problem.Problem
	if errors.As(err, &p) && p.Problem == problem.Mistaken {
		return exitMistakes
	}
	var e cli.ExitCoder
	if errors.As(err, &e) {
		return exitUsage
	}
	return exitFailed
}

func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return &failure{code: exitUsage, text: err.Error()}
}

// arguments returns exactly the named arguments of a command.
func arguments(c *cli.Command, names ...string) ([]string, error) {
	a := c.Args().Slice()
	if len(a) == len(names) {
		return a, nil
	}
	t := "usage: " + c.FullName()
	for _, n := range names {
		t += " " + n
	}
	return nil, &failure{code: exitUsage, text: t}
}

// conflicted gives a conflict its exit code.
func conflicted(err error) error {
	var p *problem.Problem
	if errors.As(err, &p) && p.Problem == problem.Conflict {
		return &failure{code: exitConflict, text: p.Error()}
	}
	return err
}
