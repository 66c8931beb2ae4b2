package entitlement

import (
	"sort"
	"sync"
	"time"

	"celeryreach.example/celeryreach/division"
	"celeryreach.example/celeryreach/grant"
	"celeryreach.example/celeryreach/holder"
	"celeryreach.example/celeryreach/span"
)

// view is the state that the request path reads. It is immutable except for the
// cache in usages.
type view struct {
	usages         *usageCache
	epoch          uint64
	minLeasedEpoch uint64
	minFloorEpoch  uint64
	floorSince     time.Time
	floorUntil     time.Time
	leasedSince    time.Time
	leasedUntil    time.Time
	neverUsed      bool
	notInDivision  bool
}

// usageCache computes the part of a limit that this host may use on first
// access and caches it. A host has no part of most accounts and receives no
// requests for them.
type usageCache struct {
	self           holder.Holder
	divisions      []*division.Division
	minLeasedEpoch uint64
	minFloorEpoch  uint64

	mu     sync.RWMutex
	limits map[string]*usage
	rates  map[string]*usage
}

// usage is the part of one limit that this host may use: fractions for rates,
// which can be divided at any point, and spans for slots, each of which has
// exactly one user.
type usage struct {
	floor       float64
	leased      float64
	floorSpans  []span.Span
	leasedSpans []span.Span
}

func (u *usageCache) limit(limit string) *usage {
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

// rate is like limit for the rate of an account, but does not build the name of
// the limit on each request.
func (u *usageCache) rate(account string) *usage {
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

// publish makes the parts that this host may use at the moment visible to the
// request path.
func (h *Entitlement) publish(now time.Time) {
	if len(h.divisions) == 0 {
		return
	}
	o := h.view.Load()
	if o == nil {
		o = &view{}
	}
	v := &view{
		epoch: h.epoch(), minLeasedEpoch: h.minLeasedEpoch, minFloorEpoch: h.minFloorEpoch, neverUsed: h.epoch() == 1,
		notInDivision: !h.divisions[len(h.divisions)-1].Includes(h.Self), floorSince: now, floorUntil: h.floorUntil(now), leasedSince: now, leasedUntil: h.leasedUntil(now),
	}
	g := false
	if o.usages != nil && v.epoch == o.epoch && v.minLeasedEpoch == o.minLeasedEpoch && v.minFloorEpoch == o.minFloorEpoch {
		v.usages = o.usages
		g = v.continueGrants(o, now)
	} else {
		v.usages = &usageCache{
			self: h.Self, divisions: append([]*division.Division(nil), h.divisions...), minLeasedEpoch: h.minLeasedEpoch, minFloorEpoch: h.minFloorEpoch,
			limits: make(map[string]*usage), rates: make(map[string]*usage),
		}
		g = true
	}
	if g && h.BeforeChange != nil {
		h.BeforeChange()
	}
	h.view.Store(v)
}

func (v *view) grant(u *usage) grant.Grant {
	return grant.Grant{
		Floor: u.floor, FloorSince: v.floorSince, FloorUntil: v.floorUntil,
		Leased: u.leased, LeasedSince: v.leasedSince, LeasedUntil: v.leasedUntil, FirstUse: v.neverUsed, Unassigned: v.notInDivision,
	}
}

// continueGrants keeps the start times of the grants of o that have not lapsed,
// and reports whether a lapsed grant is valid again. A grant that is valid
// again counts as a new one: its bucket must not refill for the time in which
// the grant had lapsed.
func (v *view) continueGrants(o *view, now time.Time) bool {
	f, l := now.Before(o.floorUntil), now.Before(o.leasedUntil)
	if f {
		v.floorSince = o.floorSince
	}
	if l {
		v.leasedSince = o.leasedSince
	}
	return !f && now.Before(v.floorUntil) || !l && now.Before(v.leasedUntil)
}

// leasedUntil returns when the leased parts of the current epoch end, unless
// enough holders or another table read confirm the epoch before that time.
func (h *Entitlement) leasedUntil(now time.Time) time.Time {
	d := h.divisions[len(h.divisions)-1]
	if !d.HoldsLease(h.Self) || h.tableReadAt.IsZero() {
		return time.Time{}
	}
	t := h.epochReadAt
	if v := h.quorumConfirmedAt(d, now); v.After(t) {
		t = v
	}
	u := h.tableReadAt.Add(h.shortenForDrift(h.StoreHold))
	if t.IsZero() {
		return t
	}
	if e := t.Add(h.shortenForDrift(h.Hold)); e.Before(u) {
		u = e
	}
	return u
}

// quorumConfirmedAt returns the latest time at which enough holders of d had
// confirmed it, zero if too few ever did.
func (h *Entitlement) quorumConfirmedAt(d *division.Division, now time.Time) time.Time {
	var s []time.Time
	for _, v := range d.Holders {
		if v == h.Self {
			s = append(s, now)
		} else if p := h.peers[v.Name]; p != nil && p.incarnation == v.Incarnation {
			s = append(s, p.confirmedAt)
		}
	}
	sort.Slice(s, func(i, j int) bool { return s[i].After(s[j]) })
	if q := d.UseQuorum(); len(s) >= q {
		return s[q-1]
	}
	return time.Time{}
}

// floorUntil returns the time at which the floor becomes unusable, unless the
// process ticks again before that time.
func (h *Entitlement) floorUntil(now time.Time) time.Time {
	e := h.epoch()
	if h.minFloorEpoch == 0 || !h.divisions[len(h.divisions)-1].Includes(h.Self) {
		return time.Time{}
	}
	if now.Sub(h.runningSince) < h.extendForDrift(h.Hold) && h.epochReadAt.Before(h.runningSince) {
		return time.Time{}
	}
	t := h.lastTick.Add(h.Hold / livenessDivisor)
	if s, ok := h.knownEpochs.since(e + 1); ok && s.Add(h.Hold/livenessDivisor).Before(t) {
		// A newer epoch exists, but its division has not been received yet.
		t = s.Add(h.Hold / livenessDivisor)
	}
	return t
}

// compute returns the intersection of this host's parts over all epochs that
// some host may still use. Two hosts on different epochs then have at least one
// epoch in common, so their parts do not overlap.
func (u *usageCache) compute(limit string) *usage {
	r := &usage{leased: 1}
	w := []span.Span{{To: span.FullLength}}
	r.floorSpans, r.leasedSpans = w, w
	for _, d := range u.divisions {
		p := d.Part(limit, u.self)
		if d.Epoch >= u.minLeasedEpoch {
			r.leased = min(r.leased, fraction(p.Leased))
			r.leasedSpans = span.Intersect(r.leasedSpans, p.Leased)
		}
		if d.Epoch >= u.minFloorEpoch {
			r.floorSpans = span.Intersect(r.floorSpans, p.Floor)
		}
		if d.Epoch >= u.minLeasedEpoch && d.FloorEpoch > u.divisions[0].FloorEpoch || len(d.PriorFloors) > 0 || len(u.divisions[0].PriorFloors) > 0 {
			u.subtractLeased(r, limit)
		}
	}
	r.floor = fraction(r.floorSpans)
	return r
}

// subtractLeased removes from a floor the spans that were leased in an epoch
// that some host may still use. A floor that grew may only be used after the
// users of those leased parts have stopped.
func (u *usageCache) subtractLeased(r *usage, limit string) {
	for _, d := range u.divisions {
		if d.Epoch >= u.minLeasedEpoch {
			r.floorSpans = span.Subtract(r.floorSpans, d.Leased(limit))
		}
	}
}

func fraction(s []span.Span) float64 {
	return float64(span.Length(s)) / span.FullLength
}
