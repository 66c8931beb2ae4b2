// Package holding decides which part of each limit this host may use now. The
// rule and its proof are docs/decisions/0001-limits.md.
package holding

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/division"
	"celeryreach.example/celeryreach/grant"
	"celeryreach.example/celeryreach/holder"
	"celeryreach.example/celeryreach/span"
)

const (
	// drift is the margin, as a divisor, for clocks of different speed: with
	// 2% on either side of a comparison two clocks may be 1% off each.
	drift = 50
	// paces is how often within Hold a process must show life, and within what
	// part of Hold hosts of one failure domain hear each other.
	paces = 3
)

// Holding follows the divisions and the other hosts' heartbeats.
type Holding struct {
	// Clock is the host's monotonic clock.
	Clock clockwork.Clock
	// Self is this process.
	Self holder.Holder
	// Hold is the silence after which a leased part may be taken.
	Hold time.Duration
	// StoreHold is how long leased parts last without any reading of the
	// table.
	StoreHold time.Duration
	// Every is the time between two ticks; well under a third of Hold.
	Every time.Duration
	// Busy reports whether requests still run on slots that this host no
	// longer has; nil means never. While they do, for Hold at most, the host
	// doesn't report the epoch that took the slots.
	Busy func() bool
	// Owed is how long what this host gave away for a time, such as loans, may
	// be used after it stopped giving. It reports no epoch sooner.
	Owed time.Duration
	// Changing is called before what this host may use changes, while Grant
	// still returns the old grants. It must not block.
	Changing func()

	view atomic.Pointer[view]

	mu sync.Mutex
	// chain are the divisions that may matter, oldest first; the last one is
	// this host's epoch.
	chain []*division.Division
	// settled is the lowest epoch that any user of leased parts may be on.
	settled uint64
	// floorSettled is the same for floors in the own failure domain, zero
	// before the first.
	floorSettled uint64
	// told is since when this host reports an epoch; others rely on no more.
	told    history
	known   history
	peers   map[string]*peer
	read    time.Time // start of the newest reading of the current epoch
	store   time.Time // start of the newest reading
	learned time.Time // when the current epoch was learned
	tick    time.Time
	steady  time.Time // since when the process runs without a gap
}

// Run keeps the process's signs of life and lets waits end, until ctx ends.
func (h *Holding) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		h.Tick()
		select {
		case <-ctx.Done():
		case <-h.Clock.After(h.Every):
		}
	}
	return nil
}

// Tick notes that the process runs. A gap between two ticks means that it was
// paused: it cannot know what its failure domain did meanwhile.
func (h *Holding) Tick() {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.Clock.Now()
	if h.tick.IsZero() || n.Sub(h.tick) >= h.Hold/paces {
		h.steady = n
	}
	h.tick = n
	h.settle(n)
	h.publish(n)
}

// Learn takes a division. Read is the moment before the reading of the table
// that returned it, or zero when it came from a peer.
func (h *Holding) Learn(d division.Division, read time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.Clock.Now()
	e := h.epoch()
	if d.Epoch > e {
		h.extend(d, n)
	}
	if d.Epoch >= e && read.After(h.store) {
		h.read = read
	}
	if read.After(h.store) {
		h.store = read
	}
	h.settle(n)
	h.publish(n)
}

// Heard takes the epoch that a peer reports. Sent is when this host sent the
// heartbeat that the peer answered, or zero when the peer began.
func (h *Holding) Heard(name string, incarnation, epoch uint64, sent time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.Clock.Now()
	if h.peers == nil {
		h.peers = make(map[string]*peer)
	}
	p := h.peers[name]
	if p == nil || p.incarnation != incarnation {
		p = &peer{incarnation: incarnation}
		h.peers[name] = p
	}
	p.history.note(epoch, n)
	h.known.note(epoch, n)
	if epoch <= h.epoch() && sent.After(p.sent) {
		p.sent = sent
	}
	h.settle(n)
	h.publish(n)
}

// Epoch returns the epoch that this host is on, for its heartbeats.
func (h *Holding) Epoch() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.epoch()
}

// Report returns the epoch to tell in a heartbeat. Telling it promises others
// that this host uses nothing more that the epoch took from it, and that it
// vouches for no earlier one from now on.
func (h *Holding) Report() uint64 {
	b := h.Busy != nil && h.Busy()
	h.mu.Lock()
	defer h.mu.Unlock()
	n, e := h.Clock.Now(), h.epoch()
	if d := n.Sub(h.learned); b && d < h.Hold || e > 1 && d < h.Owed {
		return h.told.last()
	}
	h.told.note(e, n)
	return e
}

// Wanted returns the highest epoch that any peer reported.
func (h *Holding) Wanted() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.known.last()
}

// Current returns the division of this host's epoch with the earlier ones that
// may still be in use, and whether there is one.
func (h *Holding) Current() (division.Division, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.chain) == 0 {
		return division.Division{}, false
	}
	d := *h.chain[len(h.chain)-1]
	for _, v := range h.chain[:len(h.chain)-1] {
		if v.Epoch >= h.settled {
			d.Earlier = append(d.Earlier, *v)
		}
	}
	return d, true
}

// Moved reports whether some process of a failure domain has been on epoch or
// later for Hold, so that every process of it that runs has let go of the
// floors of earlier epochs.
func (h *Holding) Moved(epoch uint64, of func(name string) bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.Clock.Now()
	if of(h.Self.Name) && h.told.span(epoch, n) >= h.after(h.Hold) && h.steadyFor(n) {
		return true
	}
	for k, p := range h.peers {
		if of(k) && p.history.span(epoch, n) >= 2*h.after(h.Hold) {
			return true
		}
	}
	return false
}

// Steady reports whether the process has run without a gap for Hold, so that
// what it has not heard by now is silent.
func (h *Holding) Steady() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.steadyFor(h.Clock.Now())
}

// NeedsTable reports whether this host should read the table soon: it has no
// division or an old one, was paused, or too few others vouch for what it has.
func (h *Holding) NeedsTable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.Clock.Now()
	if len(h.chain) == 0 || h.known.last() > h.epoch() || !h.steadyFor(n) {
		return true
	}
	d := h.chain[len(h.chain)-1]
	return d.Leases(h.Self) && n.Sub(h.vouched(d, n)) > h.Hold/2
}

// Grant returns this host's use of a limit.
func (h *Holding) Grant(limit string) grant.Grant {
	v := h.view.Load()
	if v == nil {
		return grant.Grant{Unknown: true}
	}
	return v.grant(v.uses.limit(limit))
}

// Rate returns this host's use of an account's rate and burst.
func (h *Holding) Rate(account string) grant.Grant {
	v := h.view.Load()
	if v == nil {
		return grant.Grant{Unknown: true}
	}
	return v.grant(v.uses.rate(account))
}

// Part returns the fraction of a limit that this host may use now, in 0..1.
func (h *Holding) Part(limit string) float64 {
	return h.Grant(limit).Part(h.Clock.Now())
}

// Slots returns which of the total slots of a limit this host may use now.
// Slot k belongs to whoever holds the middle of the k-th piece of the limit.
func (h *Holding) Slots(limit string, total int) []int {
	v := h.view.Load()
	if v == nil {
		return nil
	}
	u, n := v.uses.limit(limit), h.Clock.Now()
	var r []int
	for k := range total {
		m := uint32((2*k + 1) * span.Whole / (2 * total))
		f := n.Before(v.floorUntil) && span.Contains(u.floorSpans, m)
		l := n.Before(v.leasedUntil) && span.Contains(u.leasedSpans, m)
		if f || l {
			r = append(r, k)
		}
	}
	return r
}

// Valid reports whether this host may use anything now. It is asked again
// right before a request leaves, since the process may have been paused after
// it took a token or slot.
func (h *Holding) Valid() bool {
	v := h.view.Load()
	n := h.Clock.Now()
	return v != nil && (n.Before(v.floorUntil) || n.Before(v.leasedUntil))
}

func (h *Holding) epoch() uint64 {
	if len(h.chain) == 0 {
		return 0
	}
	return h.chain[len(h.chain)-1].Epoch
}

// before shortens a wait that a user of a part counts.
func (h *Holding) before(d time.Duration) time.Duration {
	return d - d/drift
}

// after lengthens a wait that a claimant of a part counts.
func (h *Holding) after(d time.Duration) time.Duration {
	return d + d/drift
}
