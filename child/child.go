// Package child describes the parts that a supervisor runs.
package child

import "context"

// Child is one supervised part of a process.
type Child struct {
	// Name identifies the part in logs.
	Name string
	// Run works until ctx ends and then returns nil. An error makes the
	// supervisor start it again.
	Run func(ctx context.Context) error
}
