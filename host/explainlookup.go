package host

import (
	"net/netip"

	"celeryreach.example/celeryreach/lookupexplanation"
	"celeryreach.example/celeryreach/route"
	"celeryreach.example/celeryreach/share"
)

// explainLookup returns the answer to a lookup together with the intermediate
// results that led to it.
func (x *components) explainLookup(account, service, region string, a netip.Addr) lookupexplanation.Lookupexplanation {
	w := lookupexplanation.Lookupexplanation{Home: region}
	w.Answer, w.Refusal = x.lookup.Find(account, service, region, a)
	p, h, ok := x.findBlock(a)
	if ok {
		w.Block = p.String()
	}
	if w.Home == "" {
		w.Home = h
	}
	if w.Home == "" {
		w.Home = x.host.Settings.Region
	}
	w.Point = route.Point(service, w.Block)
	m := x.steering.plans.Plan()
	w.Route = m.Route(service, w.Home).Segments
	if m != nil {
		w.Weights = m.Domains
		w.PlanReason = m.Reason
	}
	if s := x.configFollower.Snapshot(); s != nil {
		for _, r := range s.Config.Regions {
			if x.isRegionLost(r.Name) {
				w.Lost = append(w.Lost, r.Name)
			}
		}
	}
	for _, v := range x.hosts() {
		if v.Leaving {
			w.Leaving = append(w.Leaving, v.Name)
		}
	}
	return w
}

// rateShares returns the host's shares of the accounts' rates. It omits the
// accounts whose rate the host has no share of.
func (x *components) rateShares() []share.Share {
	s := x.configFollower.Snapshot()
	if s == nil {
		return nil
	}
	n := x.host.Clock.Now()
	var r []share.Share
	for _, a := range s.Config.Accounts {
		g := x.grant(a.Name)
		f := g
		f.Leased = 0
		v := share.Share{Account: a.Name, Floor: f.Fraction(n)}
		v.Leased = g.Fraction(n) - v.Floor
		v.Rate = g.Fraction(n) * a.Rate
		v.Lent = x.quota.Lent(a.Name)
		if v.Rate > 0 {
			r = append(r, v)
		}
	}
	return r
}
