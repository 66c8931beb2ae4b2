package entry_test

import (
	"context"

	"celeryreach.example/celeryreach/commit"
	"celeryreach.example/celeryreach/row"
	"celeryreach.example/celeryreach/table"
)

func platformRead(t *table.Table) func(context.Context, string) (row.Row, error) {
	return func(_ context.Context, k string) (row.Row, error) { return t.Read(k), nil }
}

func platformCommit(t *table.Table) func(context.Context, commit.Commit) (bool, error) {
	return func(_ context.Context, c commit.Commit) (bool, error) { return t.Commit(c), nil }
}
