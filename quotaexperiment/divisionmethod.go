package quotaexperiment

import (
	"time"

	"celeryreach.example/celeryreach/grant"
)

const (
	leaseTerm       = 60 * time.Second
	renewalsPerTerm = 4
)

// divisionMethod is one method of dividing limits among hosts.
type divisionMethod struct {
	name string
	// grants returns the function that replaces the grants of the divisions, nil
	// to use the divisions.
	grants func(f *baseline) func(host int, account string) grant.Grant
	start  func(f *baseline)
}

var divisionMethods = []divisionMethod{
	{name: "divisions", grants: func(*baseline) func(int, string) grant.Grant { return nil }},
	{name: "equal-parts", grants: func(f *baseline) func(int, string) grant.Grant { return f.equalParts }},
	{name: "table-leases", grants: func(f *baseline) func(int, string) grant.Grant { return f.tableLeased }, start: (*baseline).renew},
}

// baseline simulates the two methods that the divisions are compared with.
type baseline struct {
	trial      *trial
	operations uint64
	leases     map[int]*lease
}

// lease is the row of one host: its parts, and when it was last renewed.
type lease struct {
	parts map[string]float64
	// since is when each part last changed.
	since     map[string]time.Time
	renewedAt time.Time
}

// equalParts gives each configured host the same permanent part.
func (f *baseline) equalParts(int, string) grant.Grant {
	n := f.trial.simulation.Now()
	t := 0
	for _, v := range f.trial.deployment.perRegion {
		t += v
	}
	return grant.Grant{Floor: 1 / float64(t), FloorUntil: n.Add(time.Hour), FloorSince: n.Add(-time.Hour)}
}

// tableLeased gives each host the parts of its row in the table until the term
// ends.
func (f *baseline) tableLeased(host int, account string) grant.Grant {
	l := f.leases[host]
	if l == nil {
		return grant.Grant{}
	}
	return grant.Grant{Leased: l.parts[account], LeasedSince: l.since[account], LeasedUntil: l.renewedAt.Add(leaseTerm)}
}

// renew renews the leases of all hosts, renewalsPerTerm times per term.
func (f *baseline) renew() {
	p := f.trial
	if f.leases == nil {
		f.leases = make(map[int]*lease)
	}
	n := p.simulation.Now()
	// Two rounds: parts that some hosts release in the first round are taken by
	// others in the second.
	for range 2 {
		for i, h := range p.current {
			r, _ := p.store(h)
			if !p.simulation.Runs(h) || !r {
				continue
			}
			f.operations += 2
			f.takePart(i, h, n)
		}
	}
	p.simulation.At(leaseTerm/renewalsPerTerm, f.renew)
}

// takePart gives a host the part that corresponds to its weight, as far as the
// rows of the other hosts leave room. The weights are those of the generated
// load, which is better than any measurement.
func (f *baseline) takePart(place, host int, now time.Time) {
	l := f.leases[host]
	if l == nil || now.Sub(l.renewedAt) >= leaseTerm {
		l = &lease{parts: make(map[string]float64), since: make(map[string]time.Time)}
		f.leases[host] = l
	}
	f.trial.simulation.Quota(host).RefillAll()
	l.renewedAt = now
	for i, a := range f.trial.config.Accounts {
		s, w := 0.0, 0.0
		for k := range f.trial.simulation.Len() {
			if v := f.leases[k]; v != nil && k != host && now.Sub(v.renewedAt) < leaseTerm {
				s += v.parts[a.Name]
			}
		}
		for k, v := range f.trial.weights[i] {
			if h := f.trial.current[k]; h == host || f.leases[h] != nil && now.Sub(f.leases[h].renewedAt) < leaseTerm {
				w += v
			}
		}
		t := min(f.trial.weights[i][place]/w, 1-s)
		if t != l.parts[a.Name] {
			l.parts[a.Name] = max(t, 0)
			l.since[a.Name] = now
		}
	}
}
