// Package lanes keeps a queue and a balancer for each service.
package lanes

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/balancer"
	"celeryreach.example/celeryreach/queue"
	"celeryreach.example/celeryreach/snapshot"
	"celeryreach.example/celeryreach/wire"
)

const (
	queueLimit = 10_000
	// patience is from docs/decisions/0020-queue.md.
	patience   = 100 * time.Millisecond
	sweepEvery = 50 * time.Millisecond
)

// Lanes makes the queues of the services on first use.
type Lanes struct {
	// Clock is passed to the queues.
	Clock clockwork.Clock
	// Domain is the failure domain of the host.
	Domain string
	// Snapshot returns the configuration in force, nil before the first.
	Snapshot func() *snapshot.Snapshot
	// Slots returns how many slots of a backend server this host may use now.
	Slots func(b backend.Backend) int

	mu    sync.Mutex
	lanes map[string]*lane
}

type lane struct {
	queue    *queue.Queue
	balancer *balancer.Balancer
}

// Queue returns the queue of a service.
func (l *Lanes) Queue(service string) *queue.Queue {
	return l.lane(service).queue
}

// Run looks after the queues until ctx ends.
func (l *Lanes) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		for _, n := range l.all() {
			n.queue.Sweep()
		}
		select {
		case <-ctx.Done():
		case <-l.Clock.After(sweepEvery):
		}
	}
	return nil
}

// Loads returns the load of each service for heartbeats.
func (l *Lanes) Loads() []*wire.Load {
	s := l.Snapshot()
	if s == nil {
		return nil
	}
	var r []*wire.Load
	for _, v := range s.Config.Services {
		n := l.lane(v.Name)
		t, b := n.balancer.Load()
		r = append(r, &wire.Load{Service: v.Name, Slots: uint32(t), Busy: uint32(b), Waiting: uint32(n.queue.Waiting())})
	}
	return r
}

func (l *Lanes) all() []*lane {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := make([]*lane, 0, len(l.lanes))
	for _, n := range l.lanes {
		r = append(r, n)
	}
	return r
}

func (l *Lanes) weight(account string) float64 {
	a, _ := l.Snapshot().Account(account)
	return a.Weight
}

func (l *Lanes) lane(service string) *lane {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := l.lanes[service]; n != nil {
		return n
	}
	b := &balancer.Balancer{Slots: l.Slots}
	b.Backends = func() []backend.Backend { return l.Snapshot().Backends(l.Domain, service) }
	q := &queue.Queue{Clock: l.Clock, Acquire: b.Acquire, Limit: queueLimit, Patience: patience, Weight: l.weight}
	q.Slots = func() int {
		n, _ := b.Load()
		return n
	}
	b.Released = q.Kick
	if l.lanes == nil {
		l.lanes = make(map[string]*lane)
	}
	n := &lane{queue: q, balancer: b}
	l.lanes[service] = n
	return n
}
