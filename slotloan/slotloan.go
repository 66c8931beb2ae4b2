// Package slotloan lends free slots between the hosts of a failure domain. Each
// slot of a backend server has one owner; a loan lets another host run requests
// on it until a deadline. The owner closes the slot before it responds, and
// opens it again when the loan was returned or its deadline has passed. A lost
// message makes a slot unavailable for a while but never lets two hosts use it.
package slotloan

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/slot"
	"celeryreach.example/celeryreach/wire"
)

// Prefix starts the names of slot limits; the name of a service follows.
const Prefix = "slots/"

const (
	requestTimeout = 100 * time.Millisecond
	// idleTimeout is how long a loan is kept without a request.
	idleTimeout = 20 * time.Millisecond
	// refusedBackoff is the pause before the next loan request after no host
	// lent a slot.
	refusedBackoff = 20 * time.Millisecond
	// maxClockDrift is the tolerated difference between the clock rates of the
	// borrower and the lender: the borrower stops early by this fraction of the
	// loan.
	maxClockDrift = 0.02
	// stopTime is the time within which a backend server has stopped working
	// after the deadline of a request.
	stopTime   = 25 * time.Millisecond
	maxPending = 16
)

// Slotloan implements the borrowing and the lending side of one host.
type Slotloan struct {
	// Clock is the time source for loans.
	Clock clockwork.Clock
	// Host is the name of this host.
	Host string
	// MaxLoan is the maximum duration of a loan. It must be shorter than the
	// silence after which others may take over the lender's slots, otherwise a
	// slot of a failed lender would be used twice.
	MaxLoan time.Duration
	// Lenders returns hosts of the failure domain that probably have free slots
	// of a service, the best candidate first.
	Lenders func(service string) []member.Member
	// Send sends a borrow or return request to a host.
	Send func(ctx context.Context, address string, b *wire.BorrowRequest) (*wire.BorrowResponse, error)
	// BorrowedSlot returns a slot on a backend server that another host lent.
	BorrowedSlot func(service, backend string, free func()) (slot.Slot, bool)
	// OnBorrowed is called when a loan was granted to this host.
	OnBorrowed func(service string)
	// Lend closes a free slot of this host to lend it.
	Lend func(service string, d time.Duration) (backend string, back func(), ok bool)

	mu        sync.Mutex
	borrowed  []*borrowedSlot
	lent      map[uint64]lentSlot
	requested map[string]time.Time
	requests  chan string
	refusedAt map[string]time.Time
}

// borrowedSlot is a slot that another host lent to this one.
type borrowedSlot struct {
	id       uint64
	service  string
	backend  string
	address  string
	until    time.Time
	lastUsed time.Time
	busy     bool
}

// lentSlot is a slot that this host lent to another one.
type lentSlot struct {
	until      time.Time
	returnSlot func()
}

// Acquire takes a borrowed slot for a request that ends at the given time. If
// there is none, it requests a loan, and OnBorrowed is called when it was granted.
func (l *Slotloan) Acquire(service string, until time.Time) (slot.Slot, bool) {
	v := l.takeBorrowed(service, until)
	if v == nil {
		l.requestLoan(service, until)
		return slot.Slot{}, false
	}
	// BorrowedSlot is called without holding the lock of l, because the
	// balancer calls free under its own lock.
	s, ok := l.BorrowedSlot(service, v.backend, func() { l.releaseBorrowed(v) })
	if !ok {
		l.releaseBorrowed(v)
	}
	return s, ok
}

// Run requests and returns loans until ctx ends.
func (l *Slotloan) Run(ctx context.Context) error {
	c := l.requestChannel()
	t := l.Clock.NewTicker(idleTimeout)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-c:
			l.borrow(ctx, s)
		case <-t.Chan():
			l.returnUnused(ctx)
		}
	}
}

// Receive handles a borrow or return request of another host.
func (l *Slotloan) Receive(b *wire.BorrowRequest) *wire.BorrowResponse {
	if b.Returned {
		l.endLoan(b.Loan)
		return &wire.BorrowResponse{Lender: l.Host}
	}
	d := min(time.Duration(b.ForNanoseconds), l.MaxLoan)
	s := b.Limit[len(Prefix):]
	l.mu.Lock()
	_, a := l.lent[b.Loan]
	l.mu.Unlock()
	if a || d <= 0 {
		return &wire.BorrowResponse{Lender: l.Host}
	}
	n, f, ok := l.Lend(s, d)
	if !ok {
		return &wire.BorrowResponse{Lender: l.Host}
	}
	l.recordLent(b.Loan, lentSlot{until: l.Clock.Now().Add(d), returnSlot: f})
	return &wire.BorrowResponse{Units: 1, Lender: l.Host, ForNanoseconds: int64(d), Backend: n}
}

func (l *Slotloan) takeBorrowed(service string, until time.Time) *borrowedSlot {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, v := range l.borrowed {
		if v.service == service && !v.busy && !until.After(v.until) {
			v.busy = true
			return v
		}
	}
	return nil
}

func (l *Slotloan) releaseBorrowed(v *borrowedSlot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v.busy = false
	v.lastUsed = l.Clock.Now()
}

// requestLoan queues a loan request, unless one is pending, the other hosts
// have just refused, or the request outlasts the longest loan.
func (l *Slotloan) requestLoan(service string, until time.Time) {
	c := l.requestChannel()
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.requested[service]; ok || l.Clock.Since(l.refusedAt[service]) < refusedBackoff {
		return
	}
	if until.Sub(l.Clock.Now()) > l.usable(l.MaxLoan) {
		return
	}
	select {
	case c <- service:
		if l.requested == nil {
			l.requested = make(map[string]time.Time)
			l.refusedAt = make(map[string]time.Time)
		}
		l.requested[service] = until
	default:
		// The channel is full; the next request for a slot tries again.
	}
}

// usable returns the part of a loan of duration d within which the deadlines of
// the borrower's requests must lie.
func (l *Slotloan) usable(d time.Duration) time.Duration {
	return d - time.Duration(maxClockDrift*float64(d)) - stopTime
}

func (l *Slotloan) borrow(ctx context.Context, service string) {
	defer func() {
		l.mu.Lock()
		delete(l.requested, service)
		l.mu.Unlock()
	}()
	for _, m := range l.Lenders(service) {
		if l.borrowFrom(ctx, m, service) {
			l.OnBorrowed(service)
			return
		}
	}
	l.mu.Lock()
	l.refusedAt[service] = l.Clock.Now()
	l.mu.Unlock()
}

func (l *Slotloan) borrowFrom(ctx context.Context, m member.Member, service string) bool {
	x, f := clockwork.WithTimeout(ctx, l.Clock, requestTimeout)
	defer f()
	// The loan is timed from before the request is sent, so that it ends here
	// before it ends at the lender, however long the response takes.
	t := l.Clock.Now()
	v := &borrowedSlot{id: rand.Uint64(), service: service, address: m.PeerAddress, lastUsed: t}
	r, err := l.Send(x, m.PeerAddress, &wire.BorrowRequest{
		Limit: Prefix + service, Units: 1, Borrower: l.Host, ForNanoseconds: int64(l.MaxLoan), Loan: v.id,
	})
	if err != nil || r.Units == 0 {
		return false
	}
	v.backend = r.Backend
	v.until = t.Add(l.usable(time.Duration(r.ForNanoseconds)))
	v.lastUsed = l.Clock.Now()
	l.mu.Lock()
	l.borrowed = append(l.borrowed, v)
	l.mu.Unlock()
	return true
}

// returnUnused returns the loans that have not been used for a while. They are
// removed from the list before the return messages are sent, because a slot
// belongs to the lender again as soon as its message may have arrived.
func (l *Slotloan) returnUnused(ctx context.Context) {
	for _, v := range l.removeUnused() {
		x, f := clockwork.WithTimeout(ctx, l.Clock, requestTimeout)
		// If the message is lost, the loan ends at its deadline.
		_, _ = l.Send(x, v.address, &wire.BorrowRequest{Limit: Prefix + v.service, Borrower: l.Host, Loan: v.id, Returned: true})
		f()
	}
}

func (l *Slotloan) removeUnused() []*borrowedSlot {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.Clock.Now()
	var r, k []*borrowedSlot
	for _, v := range l.borrowed {
		switch {
		case v.busy:
			k = append(k, v)
		case n.After(v.until): // expired, nothing to return
		case n.Sub(v.lastUsed) >= idleTimeout:
			r = append(r, v)
		default:
			k = append(k, v)
		}
	}
	l.borrowed = k
	return r
}

func (l *Slotloan) recordLent(id uint64, v lentSlot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.Clock.Now()
	for k, o := range l.lent {
		if !o.until.After(n) {
			delete(l.lent, k)
		}
	}
	if l.lent == nil {
		l.lent = make(map[uint64]lentSlot)
	}
	l.lent[id] = v
}

func (l *Slotloan) endLoan(id uint64) {
	l.mu.Lock()
	v, ok := l.lent[id]
	delete(l.lent, id)
	l.mu.Unlock()
	if ok {
		v.returnSlot()
	}
}

func (l *Slotloan) requestChannel() chan string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.requests == nil {
		l.requests = make(chan string, maxPending)
	}
	return l.requests
}
