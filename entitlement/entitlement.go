// Package entitlement decides which part of each limit this host may use at the
// moment. The rule and its proof are in docs/decisions/0001-limits.md.
package entitlement

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
	// driftDivisor is the margin for clocks of different speed, as a divisor. A
	// margin of 2% on either side of a comparison allows each of two clocks to
	// be off by 1%.
	driftDivisor = 50
	// livenessDivisor sets the longest time between two ticks of a running
	// process, as a divisor of Hold. Running hosts of one failure domain also
	// receive each other's heartbeats within that time.
	livenessDivisor = 3
)

// Entitlement tracks the divisions and the epochs in the heartbeats of other hosts,
// and derives from them the parts of limits that this host may use.
type Entitlement struct {
	// Clock is the monotonic clock of the host.
	Clock clockwork.Clock
	// Self is this process.
	Self holder.Holder
	// Hold is how long a holder must be silent before others may take its leased
	// part.
	Hold time.Duration
	// StoreHold is how long leased parts remain usable without any read of the
	// table.
	StoreHold time.Duration
	// TickInterval is the time between two ticks. It must be well under a third of
	// Hold.
	TickInterval time.Duration
	// RevokedSlotsInUse reports whether requests still run on slots that this host no longer
	// holds; nil means never. While it returns true, for at most Hold, the host
	// does not report the epoch that took the slots away.
	RevokedSlotsInUse func() bool
	// LoanDuration is how long tokens that this host lent remain usable by the borrower
	// after this host stopped lending. A new epoch is not reported before this
	// time has passed.
	LoanDuration time.Duration
	// BeforeChange is called before the part that this host may use changes, while
	// Grant still returns the old grants. It must not block.
	BeforeChange func()

	view atomic.Pointer[view]

	mu sync.Mutex
	// divisions are the divisions that some host may still use, oldest first.
	// The last one is the epoch of this host.
	divisions []*division.Division
	// minLeasedEpoch is the lowest epoch of which any host may still use leased
	// parts.
	minLeasedEpoch uint64
	// minFloorEpoch is the lowest epoch of which any host of this failure domain
	// may still use a floor. It is zero until one is known.
	minFloorEpoch uint64
	// reportedEpochs records since when this host reports each epoch. Other
	// hosts rely on reported epochs only.
	reportedEpochs history
	// knownEpochs records since when each epoch is known to exist, from the
	// table or from any peer.
	knownEpochs history
	// peers are the other processes by host name.
	peers          map[string]*peer
	epochReadAt    time.Time // start of the newest table read that returned the current epoch
	tableReadAt    time.Time // start of the newest table read
	epochLearnedAt time.Time // when the current epoch became known
	lastTick       time.Time
	runningSince   time.Time // since when the process has run without a gap
}

// Run calls Tick at every interval until ctx ends.
func (h *Entitlement) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		h.Tick()
		select {
		case <-ctx.Done():
		case <-h.Clock.After(h.TickInterval):
		}
	}
	return nil
}

// Tick records that the process is running. A gap between two ticks means that
// the process was paused and missed the heartbeats of its failure domain in the
// meantime.
func (h *Entitlement) Tick() {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.Clock.Now()
	if h.lastTick.IsZero() || n.Sub(h.lastTick) >= h.Hold/livenessDivisor {
		h.runningSince = n
	}
	h.lastTick = n
	h.updateMinEpochs(n)
	h.publish(n)
}

// ApplyDivision applies a division. The parameter read is the time just before the
// table read that returned it, or zero if it was received from a peer.
func (h *Entitlement) ApplyDivision(d division.Division, read time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.Clock.Now()
	e := h.epoch()
	if d.Epoch > e {
		h.advanceTo(d, n)
	}
	if d.Epoch >= e && read.After(h.tableReadAt) {
		h.epochReadAt = read
	}
	if read.After(h.tableReadAt) {
		h.tableReadAt = read
	}
	h.updateMinEpochs(n)
	h.publish(n)
}

// RecordPeerEpoch records the epoch that a peer reports. The parameter sent is when
// this host sent the heartbeat that the peer answered, or zero if the peer started the
// exchange.
func (h *Entitlement) RecordPeerEpoch(name string, incarnation, epoch uint64, sent time.Time) {
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
	p.history.record(epoch, n)
	h.knownEpochs.record(epoch, n)
	if epoch <= h.epoch() && sent.After(p.confirmedAt) {
		p.confirmedAt = sent
	}
	h.updateMinEpochs(n)
	h.publish(n)
}

// Epoch returns the epoch that this host is on.
func (h *Entitlement) Epoch() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.epoch()
}

// ReportEpoch returns the epoch to send in a heartbeat. By sending it, this host
// promises that it no longer uses anything that the epoch took away from it,
// and that it no longer confirms any earlier epoch.
func (h *Entitlement) ReportEpoch() uint64 {
	b := h.RevokedSlotsInUse != nil && h.RevokedSlotsInUse()
	h.mu.Lock()
	defer h.mu.Unlock()
	n, e := h.Clock.Now(), h.epoch()
	if d := n.Sub(h.epochLearnedAt); b && d < h.Hold || e > 1 && d < h.LoanDuration {
		return h.reportedEpochs.last()
	}
	h.reportedEpochs.record(e, n)
	return e
}

// HighestKnownEpoch returns the highest epoch known from the table or from any peer.
func (h *Entitlement) HighestKnownEpoch() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.knownEpochs.last()
}

// Current returns the division of this host's epoch together with the earlier
// divisions that some host may still use. It returns false if there is none
// yet.
func (h *Entitlement) Current() (division.Division, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.divisions) == 0 {
		return division.Division{}, false
	}
	d := *h.divisions[len(h.divisions)-1]
	for _, v := range h.divisions[:len(h.divisions)-1] {
		if v.Epoch >= h.minLeasedEpoch {
			d.Earlier = append(d.Earlier, *v)
		}
	}
	return d, true
}

// DomainReachedEpoch reports whether some process of a failure domain, whose hosts are
// given by of, has been on epoch or a later one for Hold. By then every running process
// of the domain has stopped using the floors of earlier epochs.
func (h *Entitlement) DomainReachedEpoch(epoch uint64, of func(name string) bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.Clock.Now()
	if of(h.Self.Name) && h.reportedEpochs.timeSince(epoch, n) >= h.extendForDrift(h.Hold) && h.ranWithoutGap(n) {
		return true
	}
	for k, p := range h.peers {
		if of(k) && p.history.timeSince(epoch, n) >= 2*h.extendForDrift(h.Hold) {
			return true
		}
	}
	return false
}

// RanWithoutGap reports whether the process has run without a gap for Hold. If so, a
// process from which nothing has been received by now is silent.
func (h *Entitlement) RanWithoutGap() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ranWithoutGap(h.Clock.Now())
}

// NeedsTable reports whether this host should read the table soon: it has no
// division or an outdated one, it was paused, or too few other holders confirm
// its division.
func (h *Entitlement) NeedsTable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.Clock.Now()
	if len(h.divisions) == 0 || h.knownEpochs.last() > h.epoch() || !h.ranWithoutGap(n) {
		return true
	}
	d := h.divisions[len(h.divisions)-1]
	return d.HoldsLease(h.Self) && n.Sub(h.quorumConfirmedAt(d, n)) > h.Hold/2
}

// Grant returns the part of a limit that this host may use, with its times of
// validity.
func (h *Entitlement) Grant(limit string) grant.Grant {
	v := h.view.Load()
	if v == nil {
		return grant.Grant{Unassigned: true}
	}
	return v.grant(v.usages.limit(limit))
}

// Rate returns the part of an account's rate and burst that this host may use.
func (h *Entitlement) Rate(account string) grant.Grant {
	v := h.view.Load()
	if v == nil {
		return grant.Grant{Unassigned: true}
	}
	return v.grant(v.usages.rate(account))
}

// Fraction returns the fraction of a limit that this host may use at the moment, in
// 0..1.
func (h *Entitlement) Fraction(limit string) float64 {
	return h.Grant(limit).Fraction(h.Clock.Now())
}

// Slots returns which of the total slots of a limit this host may use at the
// moment. The limit is split into total pieces of equal length, and slot k
// belongs to the holder of the middle of piece k.
func (h *Entitlement) Slots(limit string, total int) []int {
	v := h.view.Load()
	if v == nil {
		return nil
	}
	u, n := v.usages.limit(limit), h.Clock.Now()
	var r []int
	for k := range total {
		m := uint32((2*k + 1) * span.FullLength / (2 * total))
		f := n.Before(v.floorUntil) && span.Contains(u.floorSpans, m)
		l := n.Before(v.leasedUntil) && span.Contains(u.leasedSpans, m)
		if f || l {
			r = append(r, k)
		}
	}
	return r
}

// Valid reports whether this host may use anything at the moment. It is checked
// again right before a request is forwarded, since the process may have been
// paused after it took a token or a slot.
func (h *Entitlement) Valid() bool {
	v := h.view.Load()
	n := h.Clock.Now()
	return v != nil && (n.Before(v.floorUntil) || n.Before(v.leasedUntil))
}

func (h *Entitlement) epoch() uint64 {
	if len(h.divisions) == 0 {
		return 0
	}
	return h.divisions[len(h.divisions)-1].Epoch
}

// shortenForDrift shortens the time for which a host may use its part. Its
// clock may be slower than the clock of the process that takes over the part.
func (h *Entitlement) shortenForDrift(d time.Duration) time.Duration {
	return d - d/driftDivisor
}

// extendForDrift lengthens the time that a process waits before it takes over a
// part. Its clock may be faster than the clock of the part's user.
func (h *Entitlement) extendForDrift(d time.Duration) time.Duration {
	return d + d/driftDivisor
}
