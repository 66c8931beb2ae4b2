package balancer

import (
	"sync"
	"time"

	"celeryreach.example/celeryreach/slot"
)

// spare is how many free slots this host keeps for its own next request.
const spare = 1

// Lend closes a free slot for a time and returns its backend server and a
// function that ends the loan early. The slot is closed before anybody learns of
// the loan, so that a lost answer costs a slot for a while and never doubles it.
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
		if f <= 0 || b.out(s, n) {
			continue
		}
		a += f
		if f > m {
			best = s
			m = f
		}
	}
	if a <= spare {
		return "", nil, false
	}
	best.lent++
	e := sync.OnceFunc(func() { best.lent-- })
	b.kept = append(b.kept, kept{server: best, until: n.Add(d), free: e})
	b.Clock.AfterFunc(d, b.Tick)
	return best.backend.Name, func() {
		b.mu.Lock()
		e()
		b.mu.Unlock()
		b.Released()
	}, true
}

// Adopt returns a slot on a backend server that a sibling lent. Free is called,
// under the balancer's lock, when the backend server can have stopped.
func (b *Balancer) Adopt(name string, free func()) (slot.Slot, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.Clock.Now()
	b.refresh(n)
	s := b.known[name]
	if s == nil || s.index < 0 || s.closed(n) || b.out(s, n) {
		return slot.Slot{}, false
	}
	return b.slot(s, n, free), true
}

// Committed returns how many slots of a backend server are busy or lent. An
// owner that has to give slots up may report so once this is low enough.
func (b *Balancer) Committed(name string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refresh(b.Clock.Now())
	s := b.known[name]
	if s == nil {
		return 0
	}
	return s.busy + s.lent
}
