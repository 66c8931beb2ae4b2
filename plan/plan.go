// Package plan describes to which regions callers are steered.
package plan

import (
	"sort"

	"celeryreach.example/celeryreach/route"
)

// Plan is one version of the rules that steer callers to regions. Like the
// configuration, it is only replaced by a higher version. If no planner runs or
// the platform cannot be reached, the last plan stays in force.
type Plan struct {
	// Version grows by one with each plan.
	Version uint64
	// Epoch is the planner lease under which the plan was made.
	Epoch uint64
	// Routes are the routes that steer some callers away from their home
	// region.
	Routes []route.Route `json:",omitzero"`
	// Domains are the weights, in 0..1, of failure domains that are drained
	// or returning to service. Failure domains that are not listed have
	// weight 1.
	Domains map[string]float64 `json:",omitzero"`
	// Reason describes what the plan changed.
	Reason string
}

// Route returns the route of a service and a home region. If the plan has no
// such route, the returned route keeps all callers at home.
func (p *Plan) Route(service, home string) route.Route {
	if p != nil {
		for _, r := range p.Routes {
			if r.Service == service && r.Home == home {
				return r
			}
		}
	}
	return route.New(service, home)
}

// WithRoute returns a copy of the plan in which r replaces the route of the same
// service and home region.
func (p *Plan) WithRoute(r route.Route) *Plan {
	n := *p
	n.Routes = nil
	for _, v := range p.Routes {
		if v.Service != r.Service || v.Home != r.Home {
			n.Routes = append(n.Routes, v)
		}
	}
	if r.PointCount(r.Home) != route.TotalPoints {
		n.Routes = append(n.Routes, r)
	}
	sort.Slice(n.Routes, func(i, j int) bool {
		a, b := n.Routes[i], n.Routes[j]
		if a.Service != b.Service {
			return a.Service < b.Service
		}
		return a.Home < b.Home
	})
	return &n
}

// Share returns the fraction of a service's callers that is steered to a
// region. The parameter callers holds the fraction of callers of each home
// region.
func (p *Plan) Share(service, region string, callers map[string]float64) float64 {
	t, c := 0.0, 0.0
	for h, v := range callers {
		t += v * float64(p.Route(service, h).PointCount(region)) / route.TotalPoints
		c += v
	}
	if c == 0 {
		return 0
	}
	return t / c
}

// Weight returns the weight of a failure domain.
func (p *Plan) Weight(domain string) float64 {
	if p == nil {
		return 1
	}
	if w, ok := p.Domains[domain]; ok {
		return w
	}
	return 1
}

// WithWeight returns a copy of the plan with a new weight of a failure domain.
func (p *Plan) WithWeight(domain string, weight float64) *Plan {
	n := *p
	n.Domains = make(map[string]float64, len(p.Domains)+1)
	for k, v := range p.Domains {
		n.Domains[k] = v
	}
	n.Domains[domain] = weight
	if weight >= 1 {
		delete(n.Domains, domain)
	}
	return &n
}
