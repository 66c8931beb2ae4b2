package gateway

import (
	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/homes"
	"celeryreach.example/celeryreach/request"
)

// HoldToHomes holds r also to the homes of the configuration in force, which may have
// changed since r was admitted, here or by another host.
func (g *Gateway) HoldToHomes(r *request.Request) {
	h, v := g.homesInForce(r)
	if v == r.HomesVersion {
		return
	}
	o := r.Homes
	r.Homes, r.HomesVersion = h, v
	if o.String() != h.String() {
		r.DecisionLog.Add(g.Clock.Now(), "homes changed since the admission", "Before", o, "Homes", r.Homes, "HomesVersion", r.HomesVersion)
	}
}

// homesInForce returns the homes of r that the configuration in force leaves it. If another
// host took the homes of r from a newer version, they stay as they are.
func (g *Gateway) homesInForce(r *request.Request) (homes.Homes, uint64) {
	b := g.Index()
	if b.Config.Version <= r.HomesVersion {
		return r.Homes, r.HomesVersion
	}
	return r.Homes.And(b.HomesOf(r.Host, r.Path, r.Credential)), b.Config.Version
}

// MaySend reports whether r may be sent to a backend server now, although it was placed
// there earlier. One to which it may not be sent doesn't count as tried.
func (g *Gateway) MaySend(r *request.Request, b backend.Backend) bool {
	h, v := g.homesInForce(r)
	if g.Placement.StandsIn(b, h) {
		return true
	}
	r.AttemptedBackends.Remove(b.Name)
	r.DecisionLog.Add(g.Clock.Now(), "request held back", "Backend", b.Name, "Region", b.Region, "Homes", h, "HomesVersion", v, "Home", h.Allows(b.Region))
	return false
}
