// Package slotloan lends free slots between the hosts of a failure domain. Each
// slot of a backend server has one owner; a loan lets a sibling run requests on
// it until a deadline. The owner closes the slot before it answers and opens it
// again when the loan was returned or its deadline is over. A lost message costs
// a slot for a while; nothing makes two of one.
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

// Prefix starts the names of the limits that are slots; a service follows.
const Prefix = "slots/"

const (
	askTimeout = 100 * time.Millisecond
	// idle is how long a loan is kept without a request.
	idle  = 20 * time.Millisecond
	pause = 20 * time.Millisecond
	// drift bounds how much faster the borrower's clock runs than the
	// lender's may: the borrower stops early by this part of the loan.
	drift = 0.02
	// stop is the time in which a backend server has stopped after the
	// deadline that came with a request.
	stop    = 25 * time.Millisecond
	pending = 16
)

// Slotloan is the borrowing and the lending side of one host.
type Slotloan struct {
	// Clock measures the loans.
	Clock clockwork.Clock
	// Host is the name of this host.
	Host string
	// Longest is the longest loan. It must be shorter than the silence after
	// which others may take the lender's slots, or a slot of a dead lender
	// would be used twice.
	Longest time.Duration
	// Siblings returns hosts of the domain that probably have free slots of a
	// service, best first.
	Siblings func(service string) []member.Member
	// Ask sends a message to a host.
	Ask func(ctx context.Context, address string, b *wire.BorrowRequest) (*wire.BorrowResponse, error)
	// Adopt makes a slot of a borrowed one.
	Adopt func(service, backend string, free func()) (slot.Slot, bool)
	// Kick is called when a loan has come in.
	Kick func(service string)
	// Lend closes an own free slot of a service.
	Lend func(service string, d time.Duration) (backend string, back func(), ok bool)

	mu       sync.Mutex
	borrowed []*borrowed
	lent     map[uint64]lent
	wanted   map[string]time.Time
	wants    chan string
	refused  map[string]time.Time
}

// borrowed is one slot that a sibling lent.
type borrowed struct {
	id      uint64
	service string
	backend string
	address string
	until   time.Time
	used    time.Time
	busy    bool
}

// lent is one slot that this host lent.
type lent struct {
	until time.Time
	back  func()
}

// Acquire takes a borrowed slot for a request that ends at a time. If there is
// none it asks the siblings, and Kick is called when one has lent.
func (l *Slotloan) Acquire(service string, until time.Time) (slot.Slot, bool) {
	v := l.take(service, until)
	if v == nil {
		l.want(service, until)
		return slot.Slot{}, false
	}
	// Outside the lock, because the balancer calls free under its own.
	s, ok := l.Adopt(service, v.backend, func() { l.free(v) })
	if !ok {
		l.free(v)
	}
	return s, ok
}

// Run asks for and returns loans until ctx ends.
func (l *Slotloan) Run(ctx context.Context) error {
	c := l.channel()
	t := l.Clock.NewTicker(idle)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-c:
			l.borrow(ctx, s)
		case <-t.Chan():
			l.giveBack(ctx)
		}
	}
}

// Receive takes a sibling's message.
func (l *Slotloan) Receive(b *wire.BorrowRequest) *wire.BorrowResponse {
	if b.Returned {
		l.end(b.Loan)
		return &wire.BorrowResponse{Lender: l.Host}
	}
	d := min(time.Duration(b.ForNanoseconds), l.Longest)
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
	l.note(b.Loan, lent{until: l.Clock.Now().Add(d), back: f})
	return &wire.BorrowResponse{Units: 1, Lender: l.Host, ForNanoseconds: int64(d), Backend: n}
}

func (l *Slotloan) take(service string, until time.Time) *borrowed {
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

func (l *Slotloan) free(v *borrowed) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v.busy = false
	v.used = l.Clock.Now()
}

// want has the siblings asked, unless they just refused.
func (l *Slotloan) want(service string, until time.Time) {
	c := l.channel()
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.wanted[service]; ok || l.Clock.Since(l.refused[service]) < pause {
		return
	}
	if until.Sub(l.Clock.Now()) > l.usable(l.Longest) {
		return
	}
	select {
	case c <- service:
		if l.wanted == nil {
			l.wanted = make(map[string]time.Time)
			l.refused = make(map[string]time.Time)
		}
		l.wanted[service] = until
	default:
		// Others wait already; this one asks again with the next request.
	}
}

// usable is the part of a loan in which the borrower may start requests that
// end within it.
func (l *Slotloan) usable(d time.Duration) time.Duration {
	return d - time.Duration(drift*float64(d)) - stop
}

func (l *Slotloan) borrow(ctx context.Context, service string) {
	defer func() {
		l.mu.Lock()
		delete(l.wanted, service)
		l.mu.Unlock()
	}()
	for _, m := range l.Siblings(service) {
		if l.ask(ctx, m, service) {
			l.Kick(service)
			return
		}
	}
	l.mu.Lock()
	l.refused[service] = l.Clock.Now()
	l.mu.Unlock()
}

func (l *Slotloan) ask(ctx context.Context, m member.Member, service string) bool {
	x, f := clockwork.WithTimeout(ctx, l.Clock, askTimeout)
	defer f()
	// Counted from before the message left, so that the loan ends here before
	// it ends with the lender, however long the answer took.
	t := l.Clock.Now()
	v := &borrowed{id: rand.Uint64(), service: service, address: m.PeerAddress, used: t}
	r, err := l.Ask(x, m.PeerAddress, &wire.BorrowRequest{
		Limit: Prefix + service, Units: 1, Borrower: l.Host, ForNanoseconds: int64(l.Longest), Loan: v.id,
	})
	if err != nil || r.Units == 0 {
		return false
	}
	v.backend = r.Backend
	v.until = t.Add(l.usable(time.Duration(r.ForNanoseconds)))
	v.used = l.Clock.Now()
	l.mu.Lock()
	l.borrowed = append(l.borrowed, v)
	l.mu.Unlock()
	return true
}

// giveBack returns the loans that nobody used for a while. They are forgotten
// first: after a message that may have arrived the slot is the lender's again.
func (l *Slotloan) giveBack(ctx context.Context) {
	for _, v := range l.unused() {
		x, f := clockwork.WithTimeout(ctx, l.Clock, askTimeout)
		// If this is lost, the loan ends by its deadline.
		_, _ = l.Ask(x, v.address, &wire.BorrowRequest{Limit: Prefix + v.service, Borrower: l.Host, Loan: v.id, Returned: true})
		f()
	}
}

func (l *Slotloan) unused() []*borrowed {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.Clock.Now()
	var r, k []*borrowed
	for _, v := range l.borrowed {
		switch {
		case v.busy:
			k = append(k, v)
		case n.After(v.until): // over, nothing to return
		case n.Sub(v.used) >= idle:
			r = append(r, v)
		default:
			k = append(k, v)
		}
	}
	l.borrowed = k
	return r
}

func (l *Slotloan) note(id uint64, v lent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.Clock.Now()
	for k, o := range l.lent {
		if !o.until.After(n) {
			delete(l.lent, k)
		}
	}
	if l.lent == nil {
		l.lent = make(map[uint64]lent)
	}
	l.lent[id] = v
}

func (l *Slotloan) end(id uint64) {
	l.mu.Lock()
	v, ok := l.lent[id]
	delete(l.lent, id)
	l.mu.Unlock()
	if ok {
		v.back()
	}
}

func (l *Slotloan) channel() chan string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.wants == nil {
		l.wants = make(chan string, pending)
	}
	return l.wants
}
