package author

import (
	"math"
	"sort"
	"strings"

	"celeryreach.example/celeryreach/division"
	"celeryreach.example/celeryreach/holder"
	"celeryreach.example/celeryreach/maxmin"
	"celeryreach.example/celeryreach/part"
	"celeryreach.example/celeryreach/span"
)

const (
	// SlotsPrefix starts the limits of backend servers' slots, by failure
	// domain.
	SlotsPrefix = "slots/"
	// LinkPrefix starts the limits of links, by sending and receiving region.
	LinkPrefix = "link/"

	// listedMost bounds the row: accounts beyond it use the default parts.
	listedMost = 1000
	// headroom is how much more than its demand a holder is given, so that
	// the usual variation of requests does not empty its bucket.
	headroom = 1.3
	// idle is the part of the leased rest that is cut equally whatever the
	// demand, so that a first request finds tokens.
	idle = 0.1
	// leastTokens is the least number of tokens worth holding.
	leastTokens = 2
	// minor is the moved part of a limit that is not worth an epoch.
	minor = 0.05
	// fragments is the number of spans beyond which a holder's are laid anew.
	fragments = 8
)

// cut computes the parts of one limit.
type cut struct {
	plan  *plan
	next  *division.Division
	limit string
}

// parts returns the parts by holder name, and whether they differ enough from
// the old ones to be worth an epoch of their own. Without force, parts that
// differ less stay as they are.
func (c *cut) parts(force bool) (map[string]part.Part, bool) {
	o := c.old()
	if _, ok := c.plan.old.Parts[c.limit]; ok && !force && !c.plan.follow {
		return o, false
	}
	r := make(map[string]part.Part)
	v := c.free()
	l := c.lengths(span.Length(v))
	m := 0.0
	s := c.assign(v, l, func(n string) []span.Span { return o[n].Leased })
	for n, w := range s {
		m += math.Abs(float64(span.Length(w)) - float64(span.Length(o[n].Leased)))
		r[n] = part.Part{Leased: w}
	}
	m /= 2 * span.Whole
	if !force && m < minor {
		return o, false
	}
	c.floors(r, o)
	return r, m >= minor
}

// old returns the parts of the old epoch, also for a limit that it doesn't list.
func (c *cut) old() map[string]part.Part {
	if p, ok := c.plan.old.Parts[c.limit]; ok {
		return p
	}
	r := make(map[string]part.Part)
	for _, s := range [][]holder.Holder{c.plan.old.Holders, c.plan.old.Silent} {
		for _, h := range s {
			r[h.Name] = c.plan.old.Part(c.limit, h)
		}
	}
	return r
}

// floors adds to each holder its cut of its failure domain's floor.
func (c *cut) floors(r, o map[string]part.Part) {
	for _, d := range c.domains(c.next.Floors) {
		var m []holder.Holder
		for _, s := range [][]holder.Holder{c.next.Holders, c.next.Silent} {
			for _, h := range s {
				if h.Domain == d {
					m = append(m, h)
				}
			}
		}
		if len(m) == 0 {
			continue
		}
		f := c.floor(d)
		l := make(map[string]uint32, len(m))
		if span.Length(f)/uint32(len(m)) < c.quantum() {
			l[c.next.Chief(c.limit, d)] = span.Length(f)
		} else {
			for i, v := range span.Equal(f, len(m)) {
				l[m[i].Name] = span.Length(v)
			}
		}
		for n, w := range c.assign(f, l, func(n string) []span.Span { return o[n].Floor }) {
			p := r[n]
			p.Floor = w
			r[n] = p
		}
	}
}

// floor returns the region of a failure domain's floor: what is its own by the
// new floors and nobody else's by the prior ones.
func (c *cut) floor(domain string) []span.Span {
	n := c.region(c.next.Floors, c.next.FloorFraction, domain)
	for _, d := range c.next.PriorFloors {
		if d != domain {
			n = span.Subtract(n, c.region(c.next.PriorFloors, c.next.PriorFraction, d))
		}
	}
	return n
}

// free returns the region of leased parts.
func (c *cut) free() []span.Span {
	r := []span.Span{{To: span.Whole}}
	for _, d := range c.next.Floors {
		r = span.Subtract(r, c.region(c.next.Floors, c.next.FloorFraction, d))
	}
	for _, d := range c.next.PriorFloors {
		r = span.Subtract(r, c.region(c.next.PriorFloors, c.next.PriorFraction, d))
	}
	return r
}

// region returns a failure domain's floor. Each begins at a place of its own, so
// that another fraction makes it shorter or longer and moves none.
func (c *cut) region(floors []string, fraction float64, domain string) []span.Span {
	l := c.domains(floors)
	for i, d := range l {
		if f := uint32(i * span.Whole / len(l)); d == domain && fraction > 0 {
			return []span.Span{{From: f, To: f + uint32(fraction*span.Whole/float64(len(l)))}}
		}
	}
	return nil
}

// domains returns those of the failure domains that have a floor of the limit.
func (c *cut) domains(l []string) []string {
	if d, ok := strings.CutPrefix(c.limit, SlotsPrefix); ok {
		for _, v := range l {
			if v == d {
				return []string{d}
			}
		}
		return nil
	}
	n, ok := strings.CutPrefix(c.limit, LinkPrefix)
	if !ok {
		return l
	}
	f, _, _ := strings.Cut(n, "/")
	var r []string
	for _, d := range l {
		if c.regionOf(d) == f {
			r = append(r, d)
		}
	}
	return r
}

func (c *cut) regionOf(domain string) string {
	for _, d := range c.plan.config.Domains {
		if d.Name == domain {
			return d.Region
		}
	}
	return ""
}

// users returns the holders that may get leased parts of the limit.
func (c *cut) users() []holder.Holder {
	var a, b []holder.Holder
	if d, ok := strings.CutPrefix(c.limit, SlotsPrefix); ok {
		for _, h := range c.next.Holders {
			if h.Domain == d {
				a = append(a, h)
			} else if h.Region == c.regionOf(d) {
				b = append(b, h)
			}
		}
		if len(a) == 0 {
			// The failure domain lost its last host: its backend servers
			// must not stand idle until a replacement comes.
			return b
		}
		return a
	}
	if n, ok := strings.CutPrefix(c.limit, LinkPrefix); ok {
		f, _, _ := strings.Cut(n, "/")
		for _, h := range c.next.Holders {
			if h.Region == f {
				a = append(a, h)
			}
		}
		return a
	}
	return c.next.Holders
}

// lengths returns how much of the leased region each user gets.
func (c *cut) lengths(total uint32) map[string]uint32 {
	u := c.users()
	r := make(map[string]uint32, len(u))
	if len(u) == 0 {
		return r
	}
	d := c.plan.demand[c.limit]
	s := 0.0
	for _, h := range u {
		s += d[h.Name]
	}
	if s == 0 && c.quantum() > 0 {
		r[c.next.Chief(c.limit, "")] = total
		return r
	}
	for {
		l := c.spread(float64(total), u, d)
		m := 0
		for i := range u {
			if l[i] < l[m] {
				m = i
			}
		}
		if l[m] >= float64(c.quantum()) || len(u) == 1 {
			for i, h := range u {
				r[h.Name] = uint32(l[i])
			}
			return r
		}
		// Less than a whole token is of no use to its holder, and would be
		// missing where requests come in or where others borrow.
		u = append(append([]holder.Holder(nil), u[:m]...), u[m+1:]...)
	}
}

// spread divides total between users: first max-min fair by what they need
// beyond their floor, the rest by demand.
func (c *cut) spread(total float64, u []holder.Holder, d map[string]float64) []float64 {
	e := idle * total / float64(len(u))
	n := make([]float64, len(u))
	s := 0.0
	for i, h := range u {
		f := float64(span.Length(c.floor(h.Domain))) / float64(c.members(h.Domain))
		n[i] = max(d[h.Name]*headroom*span.Whole-f-e, 0)
		s += d[h.Name]
	}
	t := (1 - idle) * total
	g := maxmin.Divide(t, n)
	for _, v := range g {
		t -= v
	}
	for i, h := range u {
		w := 1 / float64(len(u))
		if s > 0 {
			w = d[h.Name] / s
		}
		g[i] += e + max(t, 0)*w
	}
	return g
}

// quantum is the length of the least part worth having: a few whole tokens of
// an account's burst. Limits other than rates have none.
func (c *cut) quantum() uint32 {
	n, ok := strings.CutPrefix(c.limit, division.RatePrefix)
	if !ok {
		return 0
	}
	for _, a := range c.plan.config.Accounts {
		if a.Name == n {
			return uint32(min(leastTokens/max(a.Burst, 1), 1) * span.Whole)
		}
	}
	return 0
}

func (c *cut) members(domain string) int {
	n := 0
	for _, h := range c.next.Holders {
		if h.Domain == domain {
			n++
		}
	}
	return max(n, 1)
}

// assign lays lengths into a region so that holders keep what they have as far
// as possible: only what really moves waits for a release.
func (c *cut) assign(region []span.Span, lengths map[string]uint32, old func(n string) []span.Span) map[string][]span.Span {
	r := make(map[string][]span.Span, len(lengths))
	f := region
	l := sorted(lengths)
	for _, n := range l {
		k := span.Intersect(old(n), region)
		if len(k) > fragments {
			k = nil
		}
		k, _ = span.Split(k, lengths[n])
		r[n] = k
		f = span.Subtract(f, k)
	}
	for _, n := range l {
		m := lengths[n] - span.Length(r[n])
		if m == 0 {
			continue
		}
		g, v := span.Split(f, m)
		r[n] = span.Join(r[n], g)
		f = v
	}
	return r
}

func sorted(m map[string]uint32) []string {
	r := make([]string, 0, len(m))
	for n := range m {
		r = append(r, n)
	}
	sort.Strings(r)
	return r
}
