// Package child describes the components that a supervisor runs.
package child

import "context"

// Child is one supervised component of a process.
type Child struct {
	// Name identifies the component in logs.
	Name string
	// Run works until ctx ends and then returns nil. If it returns an error,
	// the supervisor restarts it.
	Run func(ctx context.Context) error
}
