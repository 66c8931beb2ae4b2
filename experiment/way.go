package experiment

import (
	"time"

	"celeryreach.example/celeryreach/grant"
)

const (
	term     = 60 * time.Second
	renewals = 4
)

// way is one way of dividing limits.
type way struct {
	name string
	// grants returns the grants in the place of divisions, nil for divisions.
	grants func(f *fixed) func(host int, account string) grant.Grant
	start  func(f *fixed)
}

var ways = []way{
	{name: "divisions", grants: func(*fixed) func(int, string) grant.Grant { return nil }},
	{name: "equal-parts", grants: func(f *fixed) func(int, string) grant.Grant { return f.equal }},
	{name: "table-leases", grants: func(f *fixed) func(int, string) grant.Grant { return f.leased }, start: (*fixed).renew},
}

// fixed plays the two ways that the divisions are compared with.
type fixed struct {
	play       *play
	operations uint64
	leases     map[int]*lease
}

// lease is a host's row: its parts, and when it was last renewed.
type lease struct {
	parts map[string]float64
	since map[string]time.Time
	at    time.Time
}

// equal gives each configured host the same part for good.
func (f *fixed) equal(int, string) grant.Grant {
	n := f.play.simulation.Now()
	t := 0
	for _, v := range f.play.size.perRegion {
		t += v
	}
	return grant.Grant{Floor: 1 / float64(t), FloorUntil: n.Add(time.Hour), FloorSince: n.Add(-time.Hour)}
}

// leased gives each host what its row in the table says, until the term ends.
func (f *fixed) leased(host int, account string) grant.Grant {
	l := f.leases[host]
	if l == nil {
		return grant.Grant{}
	}
	return grant.Grant{Leased: l.parts[account], LeasedSince: l.since[account], LeasedUntil: l.at.Add(term)}
}

// renew renews all hosts' leases, four times a term.
func (f *fixed) renew() {
	p := f.play
	if f.leases == nil {
		f.leases = make(map[int]*lease)
	}
	n := p.simulation.Now()
	// Twice: what some release in the first round others take in the second.
	for range 2 {
		for i, h := range p.current {
			r, _ := p.store(h)
			if !p.simulation.Runs(h) || !r {
				continue
			}
			f.operations += 2
			f.take(i, h, n)
		}
	}
	p.simulation.At(term/renewals, f.renew)
}

// take gives a host the part that its weight asks for, as far as the rows of
// the others leave room. The weights are those of the load itself, better than
// any measurement.
func (f *fixed) take(place, host int, now time.Time) {
	l := f.leases[host]
	if l == nil || now.Sub(l.at) >= term {
		l = &lease{parts: make(map[string]float64), since: make(map[string]time.Time)}
		f.leases[host] = l
	}
	f.play.simulation.Quota(host).Sync()
	l.at = now
	for i, a := range f.play.config.Accounts {
		s, w := 0.0, 0.0
		for k := range f.play.simulation.Len() {
			if v := f.leases[k]; v != nil && k != host && now.Sub(v.at) < term {
				s += v.parts[a.Name]
			}
		}
		for k, v := range f.play.weights[i] {
			if h := f.play.current[k]; h == host || f.leases[h] != nil && now.Sub(f.leases[h].at) < term {
				w += v
			}
		}
		t := min(f.play.weights[i][place]/w, 1-s)
		if t != l.parts[a.Name] {
			l.parts[a.Name] = max(t, 0)
			l.since[a.Name] = now
		}
	}
}
