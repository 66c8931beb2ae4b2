// Package store is the seam to the users' platform: a transactional table,
// an object store and a list of hosts. Users set their own functions in the
// place of those that package platformclient makes.
package store

import (
	"context"

	"celeryreach.example/celeryreach/commit"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/row"
)

// Store is what the system needs of the users' platform. An error says that
// the outcome is not known: a Commit that returned one may have taken effect.
type Store struct {
	// Read returns a row. An absent row has Version zero and no error.
	Read func(ctx context.Context, key string) (row.Row, error)
	// Scan returns the rows whose key starts with prefix, in key order.
	Scan func(ctx context.Context, prefix string) ([]row.Row, error)
	// Commit applies a transaction and reports whether its expectations held.
	Commit func(ctx context.Context, c commit.Commit) (bool, error)
	// PutObject stores content under a name that is the content's hash.
	PutObject func(ctx context.Context, name string, content []byte) error
	// GetObject returns an object's content.
	GetObject func(ctx context.Context, name string) ([]byte, error)
	// Hosts returns the list of live and leaving hosts. It lags: it can name
	// dead hosts and miss live ones.
	Hosts func(ctx context.Context) ([]member.Member, error)
	// Announce puts this host on that list until it stops calling.
	Announce func(ctx context.Context, m member.Member) error
}
