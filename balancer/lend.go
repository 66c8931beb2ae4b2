package balancer

import (
	"sync"
	"time"

	"celeryreach.example/celeryreach/slot"
)

// reservedSlots is the number of free slots that this host keeps for its own
// next requests.
const reservedSlots = 1

// Lend makes a free slot unavailable to this host for the duration d. It
// returns the slot's backend server and the function back, which ends the loan
// early. The slot is unavailable before the borrower is notified: a lost
// response leaves it unused for a while, but two hosts can never use it at
// once.
func (b *Balancer) Lend(d time.Duration) (name string, back func(), ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.Clock.Now()
	b.refresh(n)
	var best *server
	m := 0
	a := 0
	for _, s := range b.servers {
		f := b.usable(s, n) - s.busy
		if f <= 0 || b.excluded(s, n) {
			continue
		}
		a += f
		if f > m {
			best = s
			m = f
		}
	}
	if a <= reservedSlots {
		return "", nil, false
	}
	best.lent++
	e := sync.OnceFunc(func() { best.lent-- })
	b.held = append(b.held, heldSlot{server: best, until: n.Add(d), free: e})
	b.Clock.AfterFunc(d, b.Tick)
	return best.backend.Name, func() {
		b.mu.Lock()
		e()
		b.mu.Unlock()
		b.OnReleased()
	}, true
}

// BorrowedSlot returns a slot on a backend server that another host lent. The function
// free is called, under the balancer's lock, when the backend server can be
// assumed to have stopped working on the request.
func (b *Balancer) BorrowedSlot(name string, free func()) (slot.Slot, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.Clock.Now()
	b.refresh(n)
	s := b.byName[name]
	if s == nil || s.index < 0 || s.isDraining(n) || b.excluded(s, n) {
		return slot.Slot{}, false
	}
	return b.slot(s, n, free), true
}

// Committed returns how many slots of a backend server are busy or lent. A host
// that must give up slots reports them as given up only once this number is low
// enough.
func (b *Balancer) Committed(name string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refresh(b.Clock.Now())
	s := b.byName[name]
	if s == nil {
		return 0
	}
	return s.busy + s.lent
}
