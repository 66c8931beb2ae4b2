package holding

import (
	"sort"
	"sync"
	"time"

	"celeryreach.example/celeryreach/division"
	"celeryreach.example/celeryreach/grant"
	"celeryreach.example/celeryreach/holder"
	"celeryreach.example/celeryreach/span"
)

// view is what the request path reads. Only its cache changes.
type view struct {
	uses        *uses
	epoch       uint64
	settled     uint64
	floor       uint64
	floorSince  time.Time
	floorUntil  time.Time
	leasedSince time.Time
	leasedUntil time.Time
	unused      bool
	unnamed     bool
}

// uses computes this host's use of limits as they are asked for: of most
// accounts a host has nothing and sees no request.
type uses struct {
	self    holder.Holder
	chain   []*division.Division
	settled uint64
	floor   uint64

	mu     sync.RWMutex
	limits map[string]*use
	rates  map[string]*use
}

// use is this host's part of one limit: lengths for rates, which move in any
// amount, and spans for slots, of which each has one user.
type use struct {
	floor       float64
	leased      float64
	floorSpans  []span.Span
	leasedSpans []span.Span
}

func (u *uses) limit(limit string) *use {
	u.mu.RLock()
	v := u.limits[limit]
	u.mu.RUnlock()
	if v != nil {
		return v
	}
	v = u.compute(limit)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limits[limit] = v
	return v
}

// rate is limit for an account's rate, without joining the name at each
// request.
func (u *uses) rate(account string) *use {
	u.mu.RLock()
	v := u.rates[account]
	u.mu.RUnlock()
	if v != nil {
		return v
	}
	v = u.compute(division.RatePrefix + account)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rates[account] = v
	return v
}

// publish makes what this host may use now visible to the request path.
func (h *Holding) publish(now time.Time) {
	if len(h.chain) == 0 {
		return
	}
	o := h.view.Load()
	if o == nil {
		o = &view{}
	}
	v := &view{
		epoch: h.epoch(), settled: h.settled, floor: h.floorSettled, unused: h.epoch() == 1,
		unnamed: !h.chain[len(h.chain)-1].Names(h.Self), floorSince: now, floorUntil: h.floorUntil(now), leasedSince: now, leasedUntil: h.leasedUntil(now),
	}
	g := false
	if o.uses != nil && v.epoch == o.epoch && v.settled == o.settled && v.floor == o.floor {
		v.uses = o.uses
		g = v.renew(o, now)
	} else {
		v.uses = &uses{
			self: h.Self, chain: append([]*division.Division(nil), h.chain...), settled: h.settled, floor: h.floorSettled,
			limits: make(map[string]*use), rates: make(map[string]*use),
		}
		g = true
	}
	if g && h.Changing != nil {
		h.Changing()
	}
	h.view.Store(v)
}

func (v *view) grant(u *use) grant.Grant {
	return grant.Grant{
		Floor: u.floor, FloorSince: v.floorSince, FloorUntil: v.floorUntil,
		Leased: u.leased, LeasedSince: v.leasedSince, LeasedUntil: v.leasedUntil, Unused: v.unused, Unknown: v.unnamed,
	}
}

// renew continues the grants of o and reports whether one comes back after a
// lapse. That is a new grant: its bucket must not refill for the time between.
func (v *view) renew(o *view, now time.Time) bool {
	f, l := now.Before(o.floorUntil), now.Before(o.leasedUntil)
	if f {
		v.floorSince = o.floorSince
	}
	if l {
		v.leasedSince = o.leasedSince
	}
	return !f && now.Before(v.floorUntil) || !l && now.Before(v.leasedUntil)
}

// leasedUntil returns when the leased parts of the current epoch end unless
// more is heard: enough holders vouch for it, or the table does.
func (h *Holding) leasedUntil(now time.Time) time.Time {
	d := h.chain[len(h.chain)-1]
	if !d.Leases(h.Self) || h.store.IsZero() {
		return time.Time{}
	}
	t := h.read
	if v := h.vouched(d, now); v.After(t) {
		t = v
	}
	u := h.store.Add(h.before(h.StoreHold))
	if t.IsZero() {
		return t
	}
	if e := t.Add(h.before(h.Hold)); e.Before(u) {
		u = e
	}
	return u
}

// vouched returns the moment until which enough holders of d have vouched for
// it, zero if too few ever did.
func (h *Holding) vouched(d *division.Division, now time.Time) time.Time {
	var s []time.Time
	for _, v := range d.Holders {
		if v == h.Self {
			s = append(s, now)
		} else if p := h.peers[v.Name]; p != nil && p.incarnation == v.Incarnation {
			s = append(s, p.sent)
		}
	}
	sort.Slice(s, func(i, j int) bool { return s[i].After(s[j]) })
	if q := d.UseQuorum(); len(s) >= q {
		return s[q-1]
	}
	return time.Time{}
}

// floorUntil returns when the floor ends unless the process shows life.
func (h *Holding) floorUntil(now time.Time) time.Time {
	e := h.epoch()
	if h.floorSettled == 0 || !h.chain[len(h.chain)-1].Names(h.Self) {
		return time.Time{}
	}
	if now.Sub(h.steady) < h.after(h.Hold) && h.read.Before(h.steady) {
		return time.Time{}
	}
	t := h.tick.Add(h.Hold / paces)
	if s, ok := h.known.since(e + 1); ok && s.Add(h.Hold/paces).Before(t) {
		// A newer epoch exists and its content has not come yet.
		t = s.Add(h.Hold / paces)
	}
	return t
}

// compute returns what a host has in all epochs that somebody may be on: two
// hosts that are on different epochs then have at least one in common.
func (u *uses) compute(limit string) *use {
	r := &use{leased: 1}
	w := []span.Span{{To: span.Whole}}
	r.floorSpans, r.leasedSpans = w, w
	for _, d := range u.chain {
		p := d.Part(limit, u.self)
		if d.Epoch >= u.settled {
			r.leased = min(r.leased, fraction(p.Leased))
			r.leasedSpans = span.Intersect(r.leasedSpans, p.Leased)
		}
		if d.Epoch >= u.floor {
			r.floorSpans = span.Intersect(r.floorSpans, p.Floor)
		}
		if d.Epoch >= u.settled && d.FloorEpoch > u.chain[0].FloorEpoch || len(d.PriorFloors) > 0 || len(u.chain[0].PriorFloors) > 0 {
			u.grown(r, limit)
		}
	}
	r.floor = fraction(r.floorSpans)
	return r
}

// grown takes from a floor what was leased in an epoch that somebody may still
// be on: a floor that grew may not be used before the users of leased parts
// have let go.
func (u *uses) grown(r *use, limit string) {
	for _, d := range u.chain {
		if d.Epoch >= u.settled {
			r.floorSpans = span.Subtract(r.floorSpans, d.Leased(limit))
		}
	}
}

func fraction(s []span.Span) float64 {
	return float64(span.Length(s)) / span.Whole
}
