package permits

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/rendezvous"
	"celeryreach.example/celeryreach/wire"
)

const (
	// window is the period over which permits are counted. It is a little longer than
	// the second over which a backend server counts, since requests with permits take
	// different times to arrive.
	window = 1100 * time.Millisecond
	// safetyFactor is the fraction of the bound that is granted. Hosts briefly disagree
	// on which of them grant permits, and a host that was paused sends late.
	safetyFactor = 0.93
	// grantersPerRegion is the number of hosts in a region that grant permits for one
	// backend server. If one fails, the other continues with its quota.
	grantersPerRegion = 2
	// hostsRefreshInterval is how often the list of hosts is read and the allocations
	// are recomputed.
	hostsRefreshInterval = 500 * time.Millisecond
)

// allocation names the hosts that grant permits for a backend server, as seen by this
// host.
type allocation struct {
	granters     []member.Member // in this host's region
	homeGranters []member.Member // in the backend server's region, if that is another one
	quota        int             // permits that this host grants per window
}

// granters returns the hosts to request a permit from, in order: this host if it is a
// granter, the other granters of its region, and one of the backend server's region,
// which has most of the permits.
func (p *Permits) granters(q *wire.PermitRequest) []member.Member {
	p.refreshHosts()
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.allocate(q)
	p.rotation++
	l := rotated(d.granters, p.rotation)
	slices.SortStableFunc(l, func(x, y member.Member) int {
		return trueFirst(x.Name == p.Self.Name, y.Name == p.Self.Name)
	})
	if len(d.homeGranters) > 0 {
		l = append(l, d.homeGranters[p.rotation%len(d.homeGranters)])
	}
	return l
}

// rotated returns the hosts rotated by a number of positions.
func rotated(l []member.Member, positions int) []member.Member {
	if len(l) == 0 {
		return nil
	}
	n := positions % len(l)
	return slices.Concat(l[n:], l[:n])
}

// trueFirst is a comparison that orders true before false.
func trueFirst(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return -1
	default:
		return 1
	}
}

// refreshHosts updates the list of hosts and discards the allocations. The caller must
// not hold the lock, since Hosts takes locks of its own.
func (p *Permits) refreshHosts() {
	n := p.Clock.Now()
	p.mu.Lock()
	f := p.allocations != nil && n.Sub(p.hostsUpdated) < hostsRefreshInterval
	p.mu.Unlock()
	if f {
		return
	}
	h := p.Hosts()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts, p.hostsUpdated = h, n
	p.allocations = make(map[string]allocation)
	p.removeExpired(n)
}

// removeExpired removes expired grants, refusals and unreachable hosts.
func (p *Permits) removeExpired(now time.Time) {
	if p.grants == nil {
		p.grants, p.refusedUntil, p.unreachableUntil = make(map[string][]time.Time), make(map[refusal]time.Time), make(map[string]time.Time)
	}
	for k, l := range p.grants {
		if len(withinWindow(l, now)) == 0 {
			delete(p.grants, k)
		}
	}
	for k, t := range p.refusedUntil {
		if !t.After(now) {
			delete(p.refusedUntil, k)
		}
	}
	for k, t := range p.unreachableUntil {
		if !t.After(now) {
			delete(p.unreachableUntil, k)
		}
	}
}

// allocate returns the allocation of a backend server.
func (p *Permits) allocate(q *wire.PermitRequest) allocation {
	if d, ok := p.allocations[q.GetBackend()]; ok {
		return d
	}
	k := p.regionQuota(q, int(safetyFactor*(p.Rate(q.GetService())*p.Overage+p.Slack)))
	d := allocation{granters: p.regionGranters(q, p.Self.Region, k)}
	if q.GetRegion() != p.Self.Region {
		d.homeGranters = p.regionGranters(q, q.GetRegion(), grantersPerRegion)
	}
	for i, h := range d.granters {
		if h.Name == p.Self.Name {
			d.quota = (k + len(d.granters) - 1 - i) / len(d.granters)
		}
	}
	p.allocations[q.GetBackend()] = d
	return d
}

// regionGranters returns the hosts of a region that grant permits, at most as many as
// there are permits. Hosts in the backend server's failure domain come first, since
// they can reach it when others cannot.
func (p *Permits) regionGranters(q *wire.PermitRequest, region string, permits int) []member.Member {
	var l []member.Member
	for _, h := range p.hosts {
		if h.Region == region {
			l = append(l, h)
		}
	}
	slices.SortFunc(l, func(x, y member.Member) int {
		if c := trueFirst(x.Domain == q.GetDomain(), y.Domain == q.GetDomain()); c != 0 {
			return c
		}
		return cmp.Compare(rendezvous.Uniform(q.GetBackend(), y.Name), rendezvous.Uniform(q.GetBackend(), x.Name))
	})
	return l[:min(len(l), grantersPerRegion, permits)]
}

// regionQuota returns how many of all permits belong to this host's region: in
// proportion to the requests that placement sends from there if each host has the same
// number of callers, and at least one while any are left. All hosts sum in the same
// order; otherwise the rounded quotas would not add up.
func (p *Permits) regionQuota(q *wire.PermitRequest, all int) int {
	n := make(map[string]float64)
	for _, h := range p.hosts {
		n[h.Region]++
	}
	s, t := p.Slots(q.GetService()), 0.0
	l := slices.Sorted(maps.Keys(n))
	for _, r := range l {
		n[r] *= p.sharePerSlot(r, q.GetRegion(), s)
		t += n[r]
	}
	slices.SortStableFunc(l, func(x, y string) int { return cmp.Compare(n[x], n[y]) })
	for i, r := range l {
		k := min(max(int(math.Round(float64(all)*n[r]/t)), 1), all)
		if i == len(l)-1 {
			k = all
		}
		if r == p.Self.Region {
			return k
		}
		all -= k
		t -= n[r]
	}
	return 0
}

// sharePerSlot returns the fraction of one region's requests that placement sends to
// each slot in a region, which may be the region of the requests itself.
func (p *Permits) sharePerSlot(from, to string, slots map[string]int) float64 {
	t := 0.0
	for _, r := range slices.Sorted(maps.Keys(slots)) {
		t += float64(slots[r]) * p.weight(from, r)
	}
	return p.weight(from, to) / max(t, 1)
}

func (p *Permits) weight(from, to string) float64 {
	if from == to {
		return 1
	}
	return p.RemoteWeight
}
