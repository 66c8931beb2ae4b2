package edge

import (
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/homes"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/routeindex"
	"celeryreach.example/celeryreach/wire"
)

// logHomes logs the homes of routes and client accounts that differ between two versions
// of the configuration. The version before is nil at the start.
func (e *Edge) logHomes(now, before *routeindex.Routeindex) {
	r, a := homesByName(now.Config)
	var p, b map[string]homes.Homes
	if before != nil {
		p, b = homesByName(before.Config)
	}
	e.logChangedHomes("Route", now.Config.Version, r, p)
	e.logChangedHomes("Account", now.Config.Version, a, b)
}

// logChangedHomes logs the homes that changed, kind being the field that has the name.
// Routes and accounts that are new are logged if they have homes.
func (e *Edge) logChangedHomes(kind string, version uint64, now, before map[string]homes.Homes) {
	for n, h := range now {
		if o := before[n]; o.String() != h.String() {
			e.Log.Info("homes changed", kind, n, "Version", version, "Homes", h, "Before", o)
		}
	}
}

// homesByName returns the homes of the routes and of the client accounts of a version.
func homesByName(c *config.Config) (routes, accounts map[string]homes.Homes) {
	routes, accounts = make(map[string]homes.Homes, len(c.Routes)), make(map[string]homes.Homes, len(c.Accounts))
	for _, i := range c.Routes {
		routes[i.Name] = homes.Intersect(i.Homes)
	}
	for _, a := range c.Accounts {
		accounts[a.Name] = homes.Intersect(a.Homes)
	}
	return routes, accounts
}

// stateHomes adds the homes of a request to its message.
func stateHomes(m *wire.Request, r *request.Request) {
	m.Homes, m.HomesVersion = wire.Homes_ALL, r.HomesVersion
	if r.Homes.Bound {
		m.Homes, m.Regions = wire.Homes_LISTED, r.Homes.Regions
	}
}

// statedHomes returns the homes to which the sender of a forwarded request holds it; ok is
// false if they are unknown. An older build sends the regions in which it knows backend
// servers, and sends none also if no region may serve the request. The configuration tells
// these apart if it is the same version here.
func statedHomes(m *wire.Request, r *request.Request, b *routeindex.Routeindex) (h homes.Homes, ok bool) {
	switch {
	case m.GetHomes() != wire.Homes_UNSTATED:
		return homes.Homes{Bound: m.GetHomes() == wire.Homes_LISTED, Regions: m.GetRegions()}, true
	case len(m.GetRegions()) > 0:
		return homes.Intersect(m.GetRegions()), true
	}
	return b.HomesOf(r.Host, r.Path, r.Credential), b.Config.Version == m.GetConfigVersion()
}
