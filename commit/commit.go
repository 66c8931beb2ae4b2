// Package commit describes conditional transactions of the platform's table.
package commit

import "celeryreach.example/celeryreach/row"

// Commit is one transaction: all of its writes take effect, or none does.
type Commit struct {
	// Expect lists rows by Key and Version that must stand as named; Version
	// zero means that the row must be absent.
	Expect []row.Row
	// Put lists rows to write, by Key and Value.
	Put []row.Row
	// Delete lists keys of rows to remove.
	Delete []string
}
