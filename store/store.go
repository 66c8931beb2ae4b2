// Package store defines the interface to the users' platform: a transactional
// table, an object store and a list of hosts. Users may set their own functions in
// place of those that package platformclient provides.
package store

import (
	"context"

	"celeryreach.example/celeryreach/commit"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/row"
)

// Store contains the operations that the system needs from the users' platform. An
// error means that the outcome is unknown: a Commit that returned one may have
// taken effect.
type Store struct {
	// Read returns a row. A row that does not exist has Version zero, without an
	// error.
	Read func(ctx context.Context, key string) (row.Row, error)
	// Scan returns the rows whose key starts with prefix, in key order.
	Scan func(ctx context.Context, prefix string) ([]row.Row, error)
	// Commit applies a transaction and reports whether its preconditions held.
	Commit func(ctx context.Context, c commit.Commit) (bool, error)
	// PutObject stores content under a name that is derived from the content's
	// hash.
	PutObject func(ctx context.Context, name string, content []byte) error
	// GetObject returns an object's content.
	GetObject func(ctx context.Context, name string) ([]byte, error)
	// Hosts returns the list of live and leaving hosts. The list lags behind: it
	// may contain dead hosts and lack live ones.
	Hosts func(ctx context.Context) ([]member.Member, error)
	// Announce adds this host to that list, where it stays while Announce is called
	// regularly.
	Announce func(ctx context.Context, m member.Member) error
}
