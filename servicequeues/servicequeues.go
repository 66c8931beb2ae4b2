// Package servicequeues maintains a queue and a balancer for each service.
package servicequeues

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
	// newestFirstAfter is explained in docs/decisions/0020-queue.md.
	newestFirstAfter = 100 * time.Millisecond
	sweepInterval    = 50 * time.Millisecond
)

// Servicequeues creates the queue and the balancer of a service on first use.
type Servicequeues struct {
	// Clock is the time source of the queues and balancers.
	Clock clockwork.Clock
	// Domains returns the failure domains whose backend servers this host may
	// use: its own, and others that have lost all their hosts.
	Domains func() []string
	// Snapshot returns the configuration in force, nil if there is none yet.
	Snapshot func() *snapshot.Snapshot
	// Slots returns how many slots of a backend server this host owns now.
	Slots func(b backend.Backend) int
	// AcquireBorrowed takes a slot of a service that another host of the failure domain
	// lent until at least the given time; nil disables borrowing.
	AcquireBorrowed func(service string, until time.Time) (slot.Slot, bool)
	// OnDrained is called when a backend server has drained, with the first
	// sign of the drain and the duration of the drain.
	OnDrained func(name, sign string, d time.Duration)

	sweptDomains atomic.Pointer[[]string]
	mu           sync.Mutex
	byKey        map[string]*serviceQueue
}

type serviceQueue struct {
	queue    *queue.Queue
	balancer *balancer.Balancer
}

// Queue returns the queue of a service.
func (l *Servicequeues) Queue(service string) *queue.Queue {
	return l.serviceQueue(service).queue
}

// Run sweeps the queues and balancers at regular intervals until ctx ends.
func (l *Servicequeues) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		d := l.Domains()
		l.sweptDomains.Store(&d)
		for _, n := range l.all() {
			n.balancer.Tick()
			n.queue.Sweep()
		}
		select {
		case <-ctx.Done():
		case <-l.Clock.After(sweepInterval):
		}
	}
	return nil
}

// Loads returns the load of each service, for heartbeats.
func (l *Servicequeues) Loads() []*wire.Load {
	s := l.Snapshot()
	if s == nil {
		return nil
	}
	var r []*wire.Load
	for _, v := range s.Config.Services {
		n := l.serviceQueue(v.Name)
		t, b := n.balancer.Load()
		r = append(r, &wire.Load{Service: v.Name, Slots: uint32(t), Busy: uint32(b), Waiting: uint32(n.queue.Waiting())})
	}
	return r
}

// ProbeTargets returns the backend servers to probe.
func (l *Servicequeues) ProbeTargets() []backend.Backend {
	var r []backend.Backend
	for _, v := range l.servicesWithBackends() {
		r = append(r, l.serviceQueue(v.Name).balancer.ProbeTargets()...)
	}
	return r
}

// HandleProbe handles the result of a probe.
func (l *Servicequeues) HandleProbe(b backend.Backend, h health.Health) {
	l.serviceQueue(b.Service).balancer.HandleProbe(b.Name, h)
}

// Lend closes a free slot of a service to lend it to another host of the
// failure domain, unless requests of this host wait for the service.
func (l *Servicequeues) Lend(service string, d time.Duration) (backend string, back func(), ok bool) {
	n := l.serviceQueue(service)
	if n.queue.Waiting() > 0 {
		return "", nil, false
	}
	return n.balancer.Lend(d)
}

// BorrowedSlot returns a slot on a backend server that another host lent.
func (l *Servicequeues) BorrowedSlot(service, backend string, free func()) (slot.Slot, bool) {
	return l.serviceQueue(service).balancer.BorrowedSlot(backend, free)
}

// GrantFree grants the free slots of a service to waiting requests.
func (l *Servicequeues) GrantFree(service string) {
	l.serviceQueue(service).queue.GrantFree()
}

// Committed returns how many slots of a backend server are busy or lent.
func (l *Servicequeues) Committed(b backend.Backend) int {
	return l.serviceQueue(b.Service).balancer.Committed(b.Name)
}

// servicesWithBackends returns the services that have backend servers of their
// own.
func (l *Servicequeues) servicesWithBackends() []service.Service {
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

func (l *Servicequeues) all() []*serviceQueue {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := make([]*serviceQueue, 0, len(l.byKey))
	for _, n := range l.byKey {
		r = append(r, n)
	}
	return r
}

// currentDomains returns the failure domains as of the last sweep.
func (l *Servicequeues) currentDomains() []string {
	if d := l.sweptDomains.Load(); d != nil {
		return *d
	}
	return l.Domains()
}

func (l *Servicequeues) weight(account string) float64 {
	a, _ := l.Snapshot().Account(account)
	return a.Weight
}

func (l *Servicequeues) serviceQueue(name string) *serviceQueue {
	v := l.service(name)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.getOrCreate(name, v)
}

// getOrCreate returns the queue and balancer of a service. Services that share
// backend servers share a queue, in which deferrable services are served last.
func (l *Servicequeues) getOrCreate(name string, v service.Service) *serviceQueue {
	k := name
	if v.SharedWith != "" && v.Deferrable {
		k = v.SharedWith + "\x00later"
	} else if v.SharedWith != "" {
		k = v.SharedWith
	}
	if n := l.byKey[k]; n != nil {
		return n
	}
	if l.byKey == nil {
		l.byKey = make(map[string]*serviceQueue)
	}
	var n *serviceQueue
	if v.SharedWith != "" && v.Deferrable {
		o := l.getOrCreate(v.SharedWith, service.Service{})
		n = &serviceQueue{queue: &queue.Queue{Precedes: o.queue}, balancer: o.balancer}
	} else {
		n = l.newServiceQueue(k)
	}
	l.byKey[k] = n
	return n
}

func (l *Servicequeues) newServiceQueue(name string) *serviceQueue {
	c := &backendCache{service: name, snapshot: l.Snapshot, domains: l.currentDomains}
	b := &balancer.Balancer{Clock: l.Clock, Backends: c.get, Slots: l.Slots, OnDrained: l.OnDrained}
	q := &queue.Queue{Clock: l.Clock, Acquire: b.Acquire, Limit: queueLimit, NewestFirstAfter: newestFirstAfter, Weight: l.weight}
	q.Slots = func() int {
		n, _ := b.Load()
		return n
	}
	if l.AcquireBorrowed != nil {
		q.AcquireBorrowed = func(t time.Time) (slot.Slot, bool) { return l.AcquireBorrowed(name, t) }
	}
	b.OnReleased = q.GrantFree
	return &serviceQueue{queue: q, balancer: b}
}

func (l *Servicequeues) service(name string) service.Service {
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
