// Package lanes keeps a queue and a balancer for each service.
package lanes

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/balancer"
	"celeryreach.example/celeryreach/health"
	"celeryreach.example/celeryreach/queue"
	"celeryreach.example/celeryreach/service"
	"celeryreach.example/celeryreach/slot"
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
	// Domains returns the failure domains whose backend servers this host may
	// use: its own, and others that lost all their hosts.
	Domains func() []string
	// Snapshot returns the configuration in force, nil before the first.
	Snapshot func() *snapshot.Snapshot
	// Slots returns how many slots of a backend server this host owns now.
	Slots func(b backend.Backend) int
	// Borrowed takes a slot of a service that a sibling lent until a time; nil
	// means that nobody lends.
	Borrowed func(service string, until time.Time) (slot.Slot, bool)
	// Drained is told how long a drain of a backend server took.
	Drained func(name, sign string, d time.Duration)

	domains atomic.Pointer[[]string]
	mu      sync.Mutex
	lanes   map[string]*lane
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
		d := l.Domains()
		l.domains.Store(&d)
		for _, n := range l.all() {
			n.balancer.Tick()
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

// Suspects returns the backend servers to probe.
func (l *Lanes) Suspects() []backend.Backend {
	var r []backend.Backend
	for _, v := range l.own() {
		r = append(r, l.lane(v.Name).balancer.Suspects()...)
	}
	return r
}

// Probed takes the result of a probe.
func (l *Lanes) Probed(b backend.Backend, h health.Health) {
	l.lane(b.Service).balancer.Probed(b.Name, h)
}

// Lend closes a free slot of a service for a sibling, unless own requests wait.
func (l *Lanes) Lend(service string, d time.Duration) (backend string, back func(), ok bool) {
	n := l.lane(service)
	if n.queue.Waiting() > 0 {
		return "", nil, false
	}
	return n.balancer.Lend(d)
}

// Adopt makes a slot of one that a sibling lent.
func (l *Lanes) Adopt(service, backend string, free func()) (slot.Slot, bool) {
	return l.lane(service).balancer.Adopt(backend, free)
}

// Kick hands out the free slots of a service.
func (l *Lanes) Kick(service string) {
	l.lane(service).queue.Kick()
}

// Committed returns how many slots of a backend server are busy or lent.
func (l *Lanes) Committed(b backend.Backend) int {
	return l.lane(b.Service).balancer.Committed(b.Name)
}

// own returns the services that have backend servers of their own.
func (l *Lanes) own() []service.Service {
	s := l.Snapshot()
	if s == nil {
		return nil
	}
	var r []service.Service
	for _, v := range s.Config.Services {
		if v.SharedWith == "" {
			r = append(r, v)
		}
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

// current returns the domains as of the last sweep.
func (l *Lanes) current() []string {
	if d := l.domains.Load(); d != nil {
		return *d
	}
	return l.Domains()
}

func (l *Lanes) weight(account string) float64 {
	a, _ := l.Snapshot().Account(account)
	return a.Weight
}

func (l *Lanes) lane(name string) *lane {
	v := l.service(name)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.make(name, v)
}

// make returns a lane. Services that share backend servers share the queue,
// and the deferrable ones come last in it.
func (l *Lanes) make(name string, v service.Service) *lane {
	k := name
	if v.SharedWith != "" && v.Deferrable {
		k = v.SharedWith + "\x00later"
	} else if v.SharedWith != "" {
		k = v.SharedWith
	}
	if n := l.lanes[k]; n != nil {
		return n
	}
	if l.lanes == nil {
		l.lanes = make(map[string]*lane)
	}
	var n *lane
	if v.SharedWith != "" && v.Deferrable {
		o := l.make(v.SharedWith, service.Service{})
		n = &lane{queue: &queue.Queue{Ahead: o.queue}, balancer: o.balancer}
	} else {
		n = l.build(k)
	}
	l.lanes[k] = n
	return n
}

func (l *Lanes) build(name string) *lane {
	c := &backends{service: name, snapshot: l.Snapshot, domains: l.current}
	b := &balancer.Balancer{Clock: l.Clock, Backends: c.get, Slots: l.Slots, Drained: l.Drained}
	q := &queue.Queue{Clock: l.Clock, Acquire: b.Acquire, Limit: queueLimit, Patience: patience, Weight: l.weight}
	q.Slots = func() int {
		n, _ := b.Load()
		return n
	}
	if l.Borrowed != nil {
		q.Borrowed = func(t time.Time) (slot.Slot, bool) { return l.Borrowed(name, t) }
	}
	b.Released = q.Kick
	return &lane{queue: q, balancer: b}
}

func (l *Lanes) service(name string) service.Service {
	s := l.Snapshot()
	if s == nil {
		return service.Service{}
	}
	for _, v := range s.Config.Services {
		if v.Name == name {
			return v
		}
	}
	return service.Service{}
}
