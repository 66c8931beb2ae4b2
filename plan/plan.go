// Package plan describes where callers are steered.
package plan

import (
	"sort"

	"celeryreach.example/celeryreach/route"
)

// Plan is one version of the steering. Like the configuration it only moves to
// higher versions; without a planner or a platform the last one stands.
type Plan struct {
	// Version grows by one with each plan.
	Version uint64
	// Epoch is the planner lease under which the plan was made.
	Epoch uint64
	// Routes hold what does not stay at home.
	Routes []route.Route `json:",omitzero"`
	// Domains are the weights in 0..1 of failure domains that are drained or
	// come back; those that are not named weigh 1.
	Domains map[string]float64 `json:",omitzero"`
	// Reason says what the plan changed.
	Reason string
}

// Route returns the route of a service and a home region.
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

// With returns a copy of the plan that has r.
func (p *Plan) With(r route.Route) *Plan {
	n := *p
	n.Routes = nil
	for _, v := range p.Routes {
		if v.Service != r.Service || v.Home != r.Home {
			n.Routes = append(n.Routes, v)
		}
	}
	if r.Share(r.Home) != route.Points {
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

// Share returns the part of a service's callers that a region has, when callers
// are the parts of the home regions.
func (p *Plan) Share(service, region string, callers map[string]float64) float64 {
	t, c := 0.0, 0.0
	for h, v := range callers {
		t += v * float64(p.Route(service, h).Share(region)) / route.Points
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

// WithWeight returns a copy of the plan that gives a failure domain a weight.
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
