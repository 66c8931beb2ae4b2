package holding

import (
	"time"

	"celeryreach.example/celeryreach/division"
	"celeryreach.example/celeryreach/holder"
)

// extend moves this host to the epoch of d.
func (h *Holding) extend(d division.Division, now time.Time) {
	o := h.chain
	h.chain = nil
	for _, v := range o {
		if len(d.Earlier) == 0 || v.Epoch < d.Earlier[0].Epoch {
			h.chain = append(h.chain, v)
		}
	}
	b := d.Epoch
	for i := range d.Earlier {
		v := d.Earlier[i]
		b = min(b, v.Epoch)
		h.chain = append(h.chain, &v)
	}
	d.Earlier = nil
	h.chain = append(h.chain, &d)
	// The author knew that nobody uses leased parts of an older epoch, and
	// that stays true.
	h.settled = max(h.settled, b)
	if b == 1 {
		h.floorSettled = max(h.floorSettled, 1)
	}
	h.learned = now
	h.known.note(d.Epoch, now)
}

// settle finds the newest epochs that every user must have reached, and drops
// what is older.
func (h *Holding) settle(now time.Time) {
	for i := len(h.chain) - 1; i >= 0 && h.chain[i].Epoch > h.settled; i-- {
		if h.released(i, now) {
			h.settled = h.chain[i].Epoch
		}
	}
	for i := len(h.chain) - 1; i >= 0 && h.chain[i].Epoch > h.floorSettled; i-- {
		if h.floorReleased(i, now) {
			h.floorSettled = h.chain[i].Epoch
		}
	}
	l := h.settled
	if h.floorSettled != 0 {
		l = min(l, h.floorSettled)
	}
	for len(h.chain) > 1 && h.chain[0].Epoch < l {
		h.chain = h.chain[1:]
	}
}

// released reports whether all use of leased parts of the epochs before
// chain[i] has ended.
func (h *Holding) released(i int, now time.Time) bool {
	k := h.chain[i].Epoch
	w := h.known.span(k, now)
	if w >= h.after(h.StoreHold) {
		return true
	}
	for _, d := range h.chain[:i] {
		if d.Epoch < h.settled {
			continue
		}
		if h.moved(d, k) {
			continue
		}
		// Somebody is still silent on d. Its use has ended when it can gather
		// no quorum, and no reading of the table within Hold returned d.
		if w < h.after(h.Hold) || h.witnesses(d, k, now) < d.ReleaseQuorum() {
			return false
		}
	}
	return true
}

// moved reports whether every holder of d has reported epoch k or later.
func (h *Holding) moved(d *division.Division, k uint64) bool {
	for _, v := range d.Holders {
		if v != h.Self && h.heard(v).last() < k {
			return false
		}
	}
	return true
}

// witnesses counts the holders of d that have been on epoch k or later for
// Hold.
func (h *Holding) witnesses(d *division.Division, k uint64, now time.Time) int {
	n := 0
	for _, v := range d.Holders {
		s := h.heard(v)
		if v == h.Self {
			s = h.told
		}
		if s.span(k, now) >= h.after(h.Hold) {
			n++
		}
	}
	return n
}

// floorReleased reports whether all use of floors of the own failure domain of
// epochs before chain[i] has ended.
//
// Hosts of one failure domain that run hear each other. So when this process
// has run without a gap and on the epoch for Hold, whoever runs has heard of
// it, and whoever was paused uses nothing until it has run for Hold.
func (h *Holding) floorReleased(i int, now time.Time) bool {
	k := h.chain[i].Epoch
	if h.told.span(k, now) >= h.after(h.Hold) && h.steadyFor(now) {
		return true
	}
	if h.floorSettled == 0 || h.chain[0].Epoch > h.floorSettled {
		return false
	}
	for _, d := range h.chain[:i] {
		if d.Epoch >= h.floorSettled && (!h.siblingsMoved(d.Holders, k) || !h.siblingsMoved(d.Silent, k)) {
			return false
		}
	}
	return true
}

func (h *Holding) siblingsMoved(s []holder.Holder, k uint64) bool {
	for _, v := range s {
		if v.Domain == h.Self.Domain && v != h.Self && h.heard(v).last() < k {
			return false
		}
	}
	return true
}

func (h *Holding) steadyFor(now time.Time) bool {
	return !h.tick.IsZero() && now.Sub(h.tick) < h.Hold/paces && now.Sub(h.steady) >= h.after(h.Hold)
}

// heard returns the history of a process, empty if that very process was never
// heard.
func (h *Holding) heard(v holder.Holder) history {
	p := h.peers[v.Name]
	if p == nil || p.incarnation != v.Incarnation {
		return nil
	}
	return p.history
}
