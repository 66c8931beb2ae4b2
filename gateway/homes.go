package gateway

import (
	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/request"
)

// HoldToHomes holds r also to the homes of the configuration in force, which may have
// changed since r was admitted, here or by another host.
func (g *Gateway) HoldToHomes(r *request.Request) {
	b := g.Index()
	if b.Config.Version == r.HomesVersion {
		return
	}
	o := r.Homes
	r.Homes, r.HomesVersion = o.And(b.HomesOf(r.Host, r.Path, r.Credential)), b.Config.Version
	if o.String() != r.Homes.String() {
		r.DecisionLog.Add(g.Clock.Now(), "homes changed since the admission", "Before", o, "Homes", r.Homes, "HomesVersion", r.HomesVersion)
	}
}

// MaySend reports whether r may be sent to a backend server now, although it was placed
// there earlier.
func (g *Gateway) MaySend(r *request.Request, b backend.Backend) bool {
	q := *r
	g.HoldToHomes(&q)
	if g.Placement.StandsIn(b, q.Homes) {
		return true
	}
	r.DecisionLog.Add(g.Clock.Now(), "request held back", "Backend", b.Name, "Region", b.Region, "Homes", q.Homes, "HomesVersion", q.HomesVersion)
	return false
}
