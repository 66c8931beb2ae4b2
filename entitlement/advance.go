package entitlement

import (
	"time"

	"celeryreach.example/celeryreach/division"
	"celeryreach.example/celeryreach/holder"
)

// advanceTo moves this host to the epoch of d.
func (h *Entitlement) advanceTo(d division.Division, now time.Time) {
	o := h.divisions
	h.divisions = nil
	for _, v := range o {
		if len(d.Earlier) == 0 || v.Epoch < d.Earlier[0].Epoch {
			h.divisions = append(h.divisions, v)
		}
	}
	b := d.Epoch
	for i := range d.Earlier {
		v := d.Earlier[i]
		b = min(b, v.Epoch)
		h.divisions = append(h.divisions, &v)
	}
	d.Earlier = nil
	h.divisions = append(h.divisions, &d)
	// When d was written, no host used leased parts of an epoch before b any longer,
	// and none can use them again.
	h.minLeasedEpoch = max(h.minLeasedEpoch, b)
	if b == 1 {
		h.minFloorEpoch = max(h.minFloorEpoch, 1)
	}
	h.epochLearnedAt = now
	h.knownEpochs.record(d.Epoch, now)
}

// updateMinEpochs raises minLeasedEpoch and minFloorEpoch to the newest epochs
// that every user must have reached, and drops older divisions.
func (h *Entitlement) updateMinEpochs(now time.Time) {
	for i := len(h.divisions) - 1; i >= 0 && h.divisions[i].Epoch > h.minLeasedEpoch; i-- {
		if h.leasedUseEnded(i, now) {
			h.minLeasedEpoch = h.divisions[i].Epoch
		}
	}
	for i := len(h.divisions) - 1; i >= 0 && h.divisions[i].Epoch > h.minFloorEpoch; i-- {
		if h.floorUseEnded(i, now) {
			h.minFloorEpoch = h.divisions[i].Epoch
		}
	}
	l := h.minLeasedEpoch
	if h.minFloorEpoch != 0 {
		l = min(l, h.minFloorEpoch)
	}
	for len(h.divisions) > 1 && h.divisions[0].Epoch < l {
		h.divisions = h.divisions[1:]
	}
}

// leasedUseEnded reports whether all use of leased parts of the epochs before
// divisions[i] has ended.
func (h *Entitlement) leasedUseEnded(i int, now time.Time) bool {
	k := h.divisions[i].Epoch
	w := h.knownEpochs.timeSince(k, now)
	if w >= h.extendForDrift(h.StoreHold) {
		return true
	}
	for _, d := range h.divisions[:i] {
		if d.Epoch < h.minLeasedEpoch {
			continue
		}
		if h.allHoldersReached(d, k) {
			continue
		}
		// Some holder of d has not reported epoch k. It cannot use d any
		// longer once it can gather no quorum for d, and no table read within
		// the last Hold can have returned d.
		if w < h.extendForDrift(h.Hold) || h.countHoldersPastHold(d, k, now) < d.ReleaseQuorum() {
			return false
		}
	}
	return true
}

// allHoldersReached reports whether every holder of d has reported epoch k or a
// later one.
func (h *Entitlement) allHoldersReached(d *division.Division, k uint64) bool {
	for _, v := range d.Holders {
		if v != h.Self && h.historyOf(v).last() < k {
			return false
		}
	}
	return true
}

// countHoldersPastHold counts the holders of d that have been on epoch k or a
// later one for Hold.
func (h *Entitlement) countHoldersPastHold(d *division.Division, k uint64, now time.Time) int {
	n := 0
	for _, v := range d.Holders {
		s := h.historyOf(v)
		if v == h.Self {
			s = h.reportedEpochs
		}
		if s.timeSince(k, now) >= h.extendForDrift(h.Hold) {
			n++
		}
	}
	return n
}

// floorUseEnded reports whether all use of floors of this host's failure domain
// from epochs before divisions[i] has ended.
//
// Running hosts of one failure domain receive each other's heartbeats. So once
// this process has been on the epoch for Hold and has run without a gap for
// Hold, every running process of the domain has received the epoch, and a
// process that was paused uses nothing until it has run for Hold.
func (h *Entitlement) floorUseEnded(i int, now time.Time) bool {
	k := h.divisions[i].Epoch
	if h.reportedEpochs.timeSince(k, now) >= h.extendForDrift(h.Hold) && h.ranWithoutGap(now) {
		return true
	}
	if h.minFloorEpoch == 0 || h.divisions[0].Epoch > h.minFloorEpoch {
		return false
	}
	for _, d := range h.divisions[:i] {
		if d.Epoch >= h.minFloorEpoch && (!h.domainPeersReached(d.Holders, k) || !h.domainPeersReached(d.Silent, k)) {
			return false
		}
	}
	return true
}

// domainPeersReached reports whether all other processes of this host's failure
// domain in s have reported epoch k or a later one.
func (h *Entitlement) domainPeersReached(s []holder.Holder, k uint64) bool {
	for _, v := range s {
		if v.Domain == h.Self.Domain && v != h.Self && h.historyOf(v).last() < k {
			return false
		}
	}
	return true
}

// ranWithoutGap reports whether the process has run without a gap for Hold.
func (h *Entitlement) ranWithoutGap(now time.Time) bool {
	return !h.lastTick.IsZero() && now.Sub(h.lastTick) < h.Hold/livenessDivisor && now.Sub(h.runningSince) >= h.extendForDrift(h.Hold)
}

// historyOf returns the epochs reported by a process. It is empty if nothing
// has been received from that incarnation.
func (h *Entitlement) historyOf(v holder.Holder) history {
	p := h.peers[v.Name]
	if p == nil || p.incarnation != v.Incarnation {
		return nil
	}
	return p.history
}
