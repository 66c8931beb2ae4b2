// Package routeindex finds the route of a request and the client account of a
// key.
package routeindex

import (
	"slices"
	"sort"
	"strings"
	"time"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/credential"
	"celeryreach.example/celeryreach/homes"
	"celeryreach.example/celeryreach/ingress"
	"celeryreach.example/celeryreach/service"
)

// maxWithdrawn is the maximum number of withdrawn keys that are kept.
const maxWithdrawn = 1000

// Routeindex indexes one version of the configuration. It is immutable after
// New, so that all decisions on a request are based on the same version.
type Routeindex struct {
	// Config is the indexed version.
	Config *config.Config
	// Since is when this version came into force on this host.
	Since time.Time

	routes   map[string][]*ingress.Ingress
	accounts map[string]*account.Account
	keys     map[string]*account.Account
	services map[string]*service.Service
	// withdrawn are keys of earlier versions, most recently withdrawn last.
	withdrawn []withdrawal
}

type withdrawal struct {
	hash    string
	version uint64
}

// New indexes a configuration that replaces the one indexed by before. The
// parameter before is nil for the first configuration.
func New(c *config.Config, before *Routeindex, since time.Time) *Routeindex {
	b := &Routeindex{
		Config: c, Since: since, routes: make(map[string][]*ingress.Ingress), accounts: make(map[string]*account.Account),
		keys: make(map[string]*account.Account), services: make(map[string]*service.Service),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		b.routes[r.Host] = append(b.routes[r.Host], r)
	}
	for _, l := range b.routes {
		sort.SliceStable(l, func(i, j int) bool { return len(l[i].Prefix) > len(l[j].Prefix) })
	}
	for i := range c.Accounts {
		b.accounts[c.Accounts[i].Name] = &c.Accounts[i]
	}
	for _, k := range c.Keys {
		if a := b.accounts[k.Account]; a != nil {
			b.keys[k.Hash] = a
		}
	}
	for i := range c.Services {
		b.services[c.Services[i].Name] = &c.Services[i]
	}
	if before != nil {
		b.withdrawn = b.withdrawnKeys(before)
	}
	return b
}

// withdrawnKeys returns the keys that this version or an earlier one withdrew.
func (b *Routeindex) withdrawnKeys(before *Routeindex) []withdrawal {
	var l []withdrawal
	for _, w := range before.withdrawn {
		if !b.HasKey(w.hash) {
			l = append(l, w)
		}
	}
	for _, k := range before.Config.Keys {
		if before.HasKey(k.Hash) && !b.HasKey(k.Hash) {
			l = append(l, withdrawal{hash: k.Hash, version: b.Config.Version})
		}
	}
	return slices.Clone(l[max(len(l)-maxWithdrawn, 0):])
}

// Route returns the route with the longest prefix of the path, nil if there is
// none.
func (b *Routeindex) Route(host, path string) *ingress.Ingress {
	for _, r := range b.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Account returns the client account that holds a key, nil if none does.
func (b *Routeindex) Account(key string) *account.Account {
	return b.keys[credential.Hash(key)]
}

// Homes returns the regions that may serve the requests of a route and a client account.
// The account may be nil.
func Homes(i *ingress.Ingress, a *account.Account) homes.Homes {
	if a == nil {
		return homes.Intersect(i.Homes)
	}
	return homes.Intersect(i.Homes, a.Homes)
}

// HomesOf returns the regions that this version lets serve a request which was admitted
// with a key, by this version or another. A path without a route has no homes.
func (b *Routeindex) HomesOf(host, path string, c credential.Credential) homes.Homes {
	var h homes.Homes
	if i := b.Route(host, path); i != nil {
		h = homes.Intersect(i.Homes)
		if i.Public {
			return h
		}
	}
	// The key may have moved to another account since.
	for _, a := range []*account.Account{b.accounts[c.Account], b.keys[c.Hash]} {
		if a != nil {
			h = h.And(homes.Intersect(a.Homes))
		}
	}
	return h
}

// HasKey reports whether a client account holds the key with this hash.
func (b *Routeindex) HasKey(hash string) bool {
	return b.keys[hash] != nil
}

// Withdrawn returns the version that withdrew the key with this hash. Only the
// last maxWithdrawn keys are kept, and only keys of versions that were in force
// on this host.
func (b *Routeindex) Withdrawn(hash string) (version uint64, ok bool) {
	for _, w := range b.withdrawn {
		if w.hash == hash {
			return w.version, true
		}
	}
	return 0, false
}

// Service returns a service by name, nil if there is none.
func (b *Routeindex) Service(name string) *service.Service {
	return b.services[name]
}

// RequiresKeys reports whether requests on routes that aren't public need a key.
func (b *Routeindex) RequiresKeys() bool {
	return len(b.Config.Accounts) > 0
}
