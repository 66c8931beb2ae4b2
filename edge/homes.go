package edge

import (
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/homes"
)

// logHomes logs the homes of routes and client accounts that differ between two versions
// of the configuration. The version before is nil at the start.
func (e *Edge) logHomes(c, before *config.Config) {
	r, a := homesByName(c)
	p, b := homesByName(before)
	e.logChangedHomes("Route", c.Version, r, p)
	e.logChangedHomes("Account", c.Version, a, b)
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
	if c == nil {
		return nil, nil
	}
	routes, accounts = make(map[string]homes.Homes, len(c.Routes)), make(map[string]homes.Homes, len(c.Accounts))
	for _, i := range c.Routes {
		routes[i.Name] = homes.Intersect(i.Homes)
	}
	for _, a := range c.Accounts {
		accounts[a.Name] = homes.Intersect(a.Homes)
	}
	return routes, accounts
}
