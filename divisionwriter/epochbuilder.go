package divisionwriter

import (
	"sort"

	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/division"
	"celeryreach.example/celeryreach/holder"
	"celeryreach.example/celeryreach/limitpart"
	"celeryreach.example/celeryreach/span"
)

// epochBuilder computes the epoch after old.
type epochBuilder struct {
	old    division.Division
	config *config.Config
	alive  []holder.Holder
	demand map[string]map[string]float64
	// followDemand reports whether a change of demand alone justifies a new
	// epoch.
	followDemand   bool
	floorsReleased func(domain string, epoch uint64, members []holder.Holder) bool
}

// build returns the division that should follow, and whether it differs enough
// from the old one to be written.
func (p *epochBuilder) build() (division.Division, bool) {
	n := division.Division{Epoch: p.old.Epoch + 1, Holders: p.alive, Silent: p.silentHolders()}
	u := p.old.Epoch == 0 || !equalHolders(p.old.Holders, n.Holders) || !equalHolders(p.old.Silent, n.Silent)
	if p.updateFloors(&n) {
		u = true
	}
	c := &limitDivider{builder: p, next: &n, limit: division.RatePrefix}
	n.LeasedSpans = c.leasableSpans()
	n.FloorSpans = make(map[string][]span.Span)
	for _, d := range n.Floors {
		n.FloorSpans[d] = c.domainFloor(d)
	}
	n.Parts = make(map[string]map[string]limitpart.Limitpart)
	for _, l := range p.listedLimits() {
		c := &limitDivider{builder: p, next: &n, limit: l}
		a, m := c.parts(u)
		n.Parts[l] = a
		u = u || m
	}
	if p.old.Epoch != 0 {
		n.Earlier = append(p.old.Earlier, withoutEarlier(p.old))
	}
	return n, u
}

// silentHolders returns the processes of failure domains from which no
// heartbeat is received. Their failure domains keep their floors, since the
// processes may still run on the other side of a network partition.
func (p *epochBuilder) silentHolders() []holder.Holder {
	d := make(map[string]bool)
	for _, h := range p.alive {
		d[h.Domain] = true
	}
	// A failure domain that was removed from the configuration uses its floor
	// until it can be reached, so its processes stay in the division too.
	f := make(map[string]bool)
	for _, s := range [][]string{p.old.Floors, p.old.PriorFloors} {
		for _, v := range s {
			f[v] = true
		}
	}
	var r []holder.Holder
	for _, s := range [][]holder.Holder{p.old.Silent, p.old.Holders} {
		for _, h := range s {
			if !d[h.Domain] && f[h.Domain] {
				r = append(r, h)
			}
		}
	}
	sort.Slice(r, func(i, j int) bool { return r[i].Name < r[j].Name })
	return r
}

// updateFloors sets the floors of n and reports whether they changed. A change
// takes two epochs. In the first, floors shrink to the spans that the old and
// the new floors have in common. The spans that a failure domain loses are
// assigned to other domains only after it has reported that it no longer uses
// them.
func (p *epochBuilder) updateFloors(n *division.Division) bool {
	o := p.old
	n.Floors, n.FloorFraction, n.FloorEpoch = o.Floors, o.FloorFraction, o.FloorEpoch
	n.PriorFloors, n.PriorFraction = o.PriorFloors, o.PriorFraction
	if len(o.PriorFloors) > 0 {
		m := append(append([]holder.Holder(nil), o.Holders...), o.Silent...)
		for _, d := range o.PriorFloors {
			if !p.floorsReleased(d, o.FloorEpoch, m) {
				return false
			}
		}
		n.PriorFloors, n.PriorFraction = nil, 0
		return true
	}
	f, w := p.configuredFloors()
	if w == o.FloorFraction && equalStrings(f, o.Floors) {
		return false
	}
	n.Floors, n.FloorFraction, n.FloorEpoch = f, w, n.Epoch
	if o.Epoch != 0 {
		n.PriorFloors, n.PriorFraction = o.Floors, o.FloorFraction
	}
	return true
}

// configuredFloors returns the failure domains with a floor and the floor
// fraction according to the configuration.
func (p *epochBuilder) configuredFloors() ([]string, float64) {
	var f []string
	for _, d := range p.config.Domains {
		f = append(f, d.Name)
	}
	sort.Strings(f)
	return f, p.config.ActivePreset().FloorFraction
}

// listedLimits returns the limits to list in the row: accounts with demand,
// slots and links.
func (p *epochBuilder) listedLimits() []string {
	s := make(map[string]bool)
	a := make(map[string]bool, len(p.config.Accounts))
	for _, v := range p.config.Accounts {
		a[division.RatePrefix+v.Name] = true
	}
	for l := range p.old.Parts {
		if a[l] {
			s[l] = true
		}
	}
	for l := range p.demand {
		if a[l] && len(s) < maxListedAccounts {
			s[l] = true
		}
	}
	for _, d := range p.config.Domains {
		s[SlotsPrefix+d.Name] = true
	}
	for _, k := range p.config.Links {
		s[LinkPrefix+k.From+"/"+k.To] = true
	}
	r := make([]string, 0, len(s))
	for l := range s {
		r = append(r, l)
	}
	sort.Strings(r)
	return r
}

// withoutEarlier returns d without the earlier epochs, which only the newest
// epoch needs.
func withoutEarlier(d division.Division) division.Division {
	d.Earlier = nil
	return d
}

func equalHolders(a, b []holder.Holder) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func equalStrings(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
