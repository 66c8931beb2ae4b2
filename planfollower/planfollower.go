// Package planfollower keeps the newest plan on a host.
package planfollower

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/acceptedversion"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/plan"
	"celeryreach.example/celeryreach/replica"
	"celeryreach.example/celeryreach/store"
)

// Kind names the plan in messages between hosts.
const Kind = "Plan"

// Planfollower receives plans from the platform and from peers, and applies a
// plan only if its version is higher than that of the plan in force. If neither
// the platform nor a peer can be reached, the last plan stays in force.
type Planfollower struct {
	// Clock paces the polling.
	Clock clockwork.Clock
	// Log receives one line for each applied version.
	Log *log.Logger
	// Store holds the plan's row, which is polled.
	Store store.Store
	// PollInterval returns the time until the next read of the plan's row.
	PollInterval func() time.Duration
	// OnChange is called after a version was applied; it may be nil.
	OnChange func()

	once    sync.Once
	replica *replica.Replica
	current atomic.Pointer[plan.Plan]
}

// Plan returns the plan in force, nil before the first.
func (f *Planfollower) Plan() *plan.Plan {
	return f.current.Load()
}

// Replica returns the copy of the plan that is exchanged with peers.
func (f *Planfollower) Replica() *replica.Replica {
	f.once.Do(func() {
		f.replica = &replica.Replica{
			Kind: Kind, Key: acceptedversion.PlanKey, Log: f.Log, Store: f.Store, Apply: f.apply, OnChange: f.OnChange,
			Clock: f.Clock, PollInterval: f.PollInterval,
		}
	})
	return f.replica
}

func (f *Planfollower) apply(version uint64, _ string, content []byte) error {
	p := new(plan.Plan)
	if err := codec.Unmarshal(content, p); err != nil {
		return err
	}
	p.Version = version
	f.current.Store(p)
	return nil
}
