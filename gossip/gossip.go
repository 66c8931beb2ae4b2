// Package gossip decides when a host tells its peers of a new version without waiting for
// the next regular message. The store tells all hosts of a change at the same time, so that
// in general one of them is enough to tell those that it does not answer.
package gossip

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// tellDelay is how long a host waits for another one to tell their peers. It is longer than
// a round trip to the farthest region.
const tellDelay = 300 * time.Millisecond

// Gossip tells peers of the versions of one table.
type Gossip struct {
	// Clock measures tellDelay.
	Clock clockwork.Clock
	// Tell sends the version of this host to its peers at once.
	Tell func()
	// IsTold reports whether a host that precedes this one has its version, and so has
	// told their peers.
	IsTold func() bool

	changed chan struct{}
}

// New returns a Gossip. Its fields must be set before Run is called.
func New() *Gossip {
	return &Gossip{changed: make(chan struct{}, 1)}
}

// Announce tells peers that this host has a newer version: at once if urgent is set, otherwise
// unless another host does so.
func (g *Gossip) Announce(urgent bool) {
	if urgent {
		g.Tell()
		return
	}
	select {
	case g.changed <- struct{}{}:
	default: // already announced
	}
}

// Run tells peers of versions that no other host told, until ctx ends.
func (g *Gossip) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.changed:
		}
		select {
		case <-ctx.Done():
			return nil
		case <-g.Clock.After(tellDelay):
		}
		if !g.IsTold() {
			g.Tell()
		}
	}
}
