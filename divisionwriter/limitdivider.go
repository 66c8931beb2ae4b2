package divisionwriter

import (
	"math"
	"sort"
	"strings"

	"celeryreach.example/celeryreach/division"
	"celeryreach.example/celeryreach/holder"
	"celeryreach.example/celeryreach/limitpart"
	"celeryreach.example/celeryreach/maxmin"
	"celeryreach.example/celeryreach/span"
)

const (
	// SlotsPrefix is the prefix of limits for the slots of backend servers, by
	// failure domain.
	SlotsPrefix = "slots/"
	// LinkPrefix is the prefix of limits for links, by sending and receiving
	// region.
	LinkPrefix = "link/"

	// maxListedAccounts is the maximum number of accounts in a division, which
	// bounds the size of its row in the table. Other accounts use the default
	// parts.
	maxListedAccounts = 1000
	// demandHeadroom is the factor by which the part of a holder exceeds its
	// demand, so that the usual variation of requests does not empty its bucket.
	demandHeadroom = 1.3
	// equalShareFraction is the fraction of the leased remainder that is divided
	// equally regardless of demand, so that the first request on a host finds
	// tokens.
	equalShareFraction = 0.1
	// minTokens is the smallest number of tokens that a holder is given.
	minTokens = 2
	// minMovedFraction is the smallest fraction of a limit for which a move
	// from one holder to another justifies a new epoch.
	minMovedFraction = 0.05
	// maxFragments is the number of spans above which the spans of a holder are
	// assigned from scratch.
	maxFragments = 8
)

// limitDivider computes the parts of one limit.
type limitDivider struct {
	builder *epochBuilder
	next    *division.Division
	limit   string
}

// parts returns the parts by holder name, and whether they differ enough from
// the old ones to justify a new epoch by themselves. Without force, parts that
// differ less stay as they are.
func (c *limitDivider) parts(force bool) (map[string]limitpart.Limitpart, bool) {
	o := c.oldParts()
	if _, ok := c.builder.old.Parts[c.limit]; ok && !force && !c.builder.followDemand {
		return o, false
	}
	r := make(map[string]limitpart.Limitpart)
	v := c.leasableSpans()
	l := c.leasedLengths(span.Length(v))
	m := 0.0
	s := c.assignSpans(v, l, func(n string) []span.Span { return o[n].Leased })
	for n, w := range s {
		m += math.Abs(float64(span.Length(w)) - float64(span.Length(o[n].Leased)))
		r[n] = limitpart.Limitpart{Leased: w}
	}
	m /= 2 * span.FullLength
	if !force && m < minMovedFraction {
		return o, false
	}
	c.addFloors(r, o)
	return r, m >= minMovedFraction
}

// oldParts returns the parts of the old epoch, also for a limit that it does
// not list.
func (c *limitDivider) oldParts() map[string]limitpart.Limitpart {
	if p, ok := c.builder.old.Parts[c.limit]; ok {
		return p
	}
	r := make(map[string]limitpart.Limitpart)
	for _, s := range [][]holder.Holder{c.builder.old.Holders, c.builder.old.Silent} {
		for _, h := range s {
			r[h.Name] = c.builder.old.Part(c.limit, h)
		}
	}
	return r
}

// addFloors adds to each holder its part of the floor of its failure domain.
func (c *limitDivider) addFloors(r, o map[string]limitpart.Limitpart) {
	for _, d := range c.domainsWithFloor(c.next.Floors) {
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
		f := c.domainFloor(d)
		l := make(map[string]uint32, len(m))
		if span.Length(f)/uint32(len(m)) < c.minPartLength() {
			l[c.next.DefaultHolder(c.limit, d)] = span.Length(f)
		} else {
			for i, v := range span.SplitEqually(f, len(m)) {
				l[m[i].Name] = span.Length(v)
			}
		}
		for n, w := range c.assignSpans(f, l, func(n string) []span.Span { return o[n].Floor }) {
			p := r[n]
			p.Floor = w
			r[n] = p
		}
	}
}

// domainFloor returns the floor of a failure domain: its spans by the new
// floors, without the spans that the prior floors assign to other domains.
func (c *limitDivider) domainFloor(domain string) []span.Span {
	n := c.floorSpans(c.next.Floors, c.next.FloorFraction, domain)
	for _, d := range c.next.PriorFloors {
		if d != domain {
			n = span.Subtract(n, c.floorSpans(c.next.PriorFloors, c.next.PriorFraction, d))
		}
	}
	return n
}

// leasableSpans returns the spans that no floor covers, neither a new nor a
// prior one.
func (c *limitDivider) leasableSpans() []span.Span {
	r := []span.Span{{To: span.FullLength}}
	for _, d := range c.next.Floors {
		r = span.Subtract(r, c.floorSpans(c.next.Floors, c.next.FloorFraction, d))
	}
	for _, d := range c.next.PriorFloors {
		r = span.Subtract(r, c.floorSpans(c.next.PriorFloors, c.next.PriorFraction, d))
	}
	return r
}

// floorSpans returns the floor of one of the failure domains in floors. The
// floor of each domain begins at a fixed position, so that a change of the
// fraction changes its length but does not move it.
func (c *limitDivider) floorSpans(floors []string, fraction float64, domain string) []span.Span {
	l := c.domainsWithFloor(floors)
	for i, d := range l {
		if f := uint32(i * span.FullLength / len(l)); d == domain && fraction > 0 {
			return []span.Span{{From: f, To: f + uint32(fraction*span.FullLength/float64(len(l)))}}
		}
	}
	return nil
}

// domainsWithFloor returns the failure domains of l that have a floor of the
// limit.
func (c *limitDivider) domainsWithFloor(l []string) []string {
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

func (c *limitDivider) regionOf(domain string) string {
	for _, d := range c.builder.config.Domains {
		if d.Name == domain {
			return d.Region
		}
	}
	return ""
}

// eligibleHolders returns the holders that may be given leased parts of the
// limit.
func (c *limitDivider) eligibleHolders() []holder.Holder {
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
			// The failure domain has no host left. Hosts of the same region
			// use its backend servers until a replacement starts.
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

// leasedLengths returns the length of the leased part of each eligible holder.
func (c *limitDivider) leasedLengths(total uint32) map[string]uint32 {
	u := c.eligibleHolders()
	r := make(map[string]uint32, len(u))
	if len(u) == 0 {
		return r
	}
	d := c.builder.demand[c.limit]
	s := 0.0
	for _, h := range u {
		s += d[h.Name]
	}
	if s == 0 && c.minPartLength() > 0 {
		r[c.next.DefaultHolder(c.limit, "")] = total
		return r
	}
	for {
		l := c.distribute(float64(total), u, d)
		m := 0
		for i := range u {
			if l[i] < l[m] {
				m = i
			}
		}
		if l[m] >= float64(c.minPartLength()) || len(u) == 1 {
			for i, h := range u {
				r[h.Name] = uint32(l[i])
			}
			return r
		}
		// Less than one token is of no use to its holder, and would be missing
		// where requests arrive or where other hosts borrow.
		u = append(append([]holder.Holder(nil), u[:m]...), u[m+1:]...)
	}
}

// distribute divides total between the holders of u: first max-min fair by
// their need beyond the floor, then the remainder by demand.
func (c *limitDivider) distribute(total float64, u []holder.Holder, d map[string]float64) []float64 {
	e := equalShareFraction * total / float64(len(u))
	n := make([]float64, len(u))
	s := 0.0
	for i, h := range u {
		f := float64(span.Length(c.domainFloor(h.Domain))) / float64(c.countHolders(h.Domain))
		n[i] = max(d[h.Name]*demandHeadroom*span.FullLength-f-e, 0)
		s += d[h.Name]
	}
	t := (1 - equalShareFraction) * total
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

// minPartLength is the length of the smallest part that a holder is given:
// minTokens tokens of the burst of an account. Limits other than rates have no
// minimum.
func (c *limitDivider) minPartLength() uint32 {
	n, ok := strings.CutPrefix(c.limit, division.RatePrefix)
	if !ok {
		return 0
	}
	for _, a := range c.builder.config.Accounts {
		if a.Name == n {
			return uint32(min(minTokens/max(a.Burst, 1), 1) * span.FullLength)
		}
	}
	return 0
}

func (c *limitDivider) countHolders(domain string) int {
	n := 0
	for _, h := range c.next.Holders {
		if h.Domain == domain {
			n++
		}
	}
	return max(n, 1)
}

// assignSpans assigns spans of the given lengths from the available ones.
// Holders keep as many of their spans as possible: a span that moves to another
// holder cannot be used until the former holder has released it.
func (c *limitDivider) assignSpans(available []span.Span, lengths map[string]uint32, old func(n string) []span.Span) map[string][]span.Span {
	r := make(map[string][]span.Span, len(lengths))
	f := available
	l := sortedKeys(lengths)
	for _, n := range l {
		k := span.Intersect(old(n), available)
		if len(k) > maxFragments {
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

func sortedKeys(m map[string]uint32) []string {
	r := make([]string, 0, len(m))
	for n := range m {
		r = append(r, n)
	}
	sort.Strings(r)
	return r
}
