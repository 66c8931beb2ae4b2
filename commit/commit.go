// Package commit defines conditional transactions on the platform's table.
package commit

import "celeryreach.example/celeryreach/row"

// Commit is one transaction: either all of its writes take effect, or none does.
type Commit struct {
	// Expect lists rows, by Key and Version, that must have the given version.
	// Version zero means that the row must not exist.
	Expect []row.Row
	// Put lists rows to write, by Key and Value.
	Put []row.Row
	// Delete lists the keys of rows to remove.
	Delete []string
}
