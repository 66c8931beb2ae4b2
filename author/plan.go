package author

import (
	"sort"

	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/division"
	"celeryreach.example/celeryreach/holder"
	"celeryreach.example/celeryreach/part"
	"celeryreach.example/celeryreach/span"
)

// plan computes the epoch after old.
type plan struct {
	old    division.Division
	config *config.Config
	alive  []holder.Holder
	demand map[string]map[string]float64
	// follow tells that moved demand alone is reason for an epoch.
	follow   bool
	released func(domain string, epoch uint64, members []holder.Holder) bool
}

// next returns the division that should follow and whether it differs enough
// from the old one to be written.
func (p *plan) next() (division.Division, bool) {
	n := division.Division{Epoch: p.old.Epoch + 1, Holders: p.alive, Silent: p.silent()}
	u := p.old.Epoch == 0 || !same(p.old.Holders, n.Holders) || !same(p.old.Silent, n.Silent)
	if p.floors(&n) {
		u = true
	}
	c := &cut{plan: p, next: &n, limit: division.RatePrefix}
	n.LeasedSpans = c.free()
	n.FloorSpans = make(map[string][]span.Span)
	for _, d := range n.Floors {
		n.FloorSpans[d] = c.floor(d)
	}
	n.Parts = make(map[string]map[string]part.Part)
	for _, l := range p.limits() {
		c := &cut{plan: p, next: &n, limit: l}
		a, m := c.parts(u)
		n.Parts[l] = a
		u = u || m
	}
	if p.old.Epoch != 0 {
		n.Earlier = append(p.old.Earlier, bare(p.old))
	}
	return n, u
}

// silent returns the processes of failure domains in which nobody is heard.
// They may run behind a cut, so their floor stays theirs.
func (p *plan) silent() []holder.Holder {
	d := make(map[string]bool)
	for _, h := range p.alive {
		d[h.Domain] = true
	}
	// A failure domain that left the configuration uses its floor until it is
	// heard, so its processes stay named too.
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

// floors sets the floors of n and reports whether they changed. A change takes
// two epochs: floors first shrink to what old and new have in common, and what
// a failure domain lost is given away only after it was heard to let go.
func (p *plan) floors(n *division.Division) bool {
	o := p.old
	n.Floors, n.FloorFraction, n.FloorEpoch = o.Floors, o.FloorFraction, o.FloorEpoch
	n.PriorFloors, n.PriorFraction = o.PriorFloors, o.PriorFraction
	if len(o.PriorFloors) > 0 {
		m := append(append([]holder.Holder(nil), o.Holders...), o.Silent...)
		for _, d := range o.PriorFloors {
			if !p.released(d, o.FloorEpoch, m) {
				return false
			}
		}
		n.PriorFloors, n.PriorFraction = nil, 0
		return true
	}
	f, w := p.wanted()
	if w == o.FloorFraction && equal(f, o.Floors) {
		return false
	}
	n.Floors, n.FloorFraction, n.FloorEpoch = f, w, n.Epoch
	if o.Epoch != 0 {
		n.PriorFloors, n.PriorFraction = o.Floors, o.FloorFraction
	}
	return true
}

// wanted returns the floors that the configuration asks for.
func (p *plan) wanted() ([]string, float64) {
	var f []string
	for _, d := range p.config.Domains {
		f = append(f, d.Name)
	}
	sort.Strings(f)
	return f, p.config.InForce().FloorFraction
}

// limits returns the limits to list: accounts that have demand, slots and
// links.
func (p *plan) limits() []string {
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
		if a[l] && len(s) < listedMost {
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

// bare returns d without what only the newest epoch needs.
func bare(d division.Division) division.Division {
	d.Earlier = nil
	return d
}

func same(a, b []holder.Holder) bool {
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

func equal(a, b []string) bool {
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
