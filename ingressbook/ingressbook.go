// Package ingressbook finds the route of a request and the client account of a
// key.
package ingressbook

import (
	"sort"
	"strings"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/credential"
	"celeryreach.example/celeryreach/ingress"
	"celeryreach.example/celeryreach/service"
)

// Ingressbook is one version of the configuration, arranged for look-ups. It is
// never changed after New, so that every decision on a request is taken from
// one version.
type Ingressbook struct {
	// Config is the version that the look-ups answer from.
	Config *config.Config

	routes   map[string][]*ingress.Ingress
	accounts map[string]*account.Account
	keys     map[string]*account.Account
	services map[string]*service.Service
}

// New arranges a configuration.
func New(c *config.Config) *Ingressbook {
	b := &Ingressbook{
		Config: c, routes: make(map[string][]*ingress.Ingress), accounts: make(map[string]*account.Account),
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
	return b
}

// Route returns the route with the longest prefix that begins the path, nil if
// there is none.
func (b *Ingressbook) Route(host, path string) *ingress.Ingress {
	for _, r := range b.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Account returns the client account that holds a key, nil if none does.
func (b *Ingressbook) Account(key string) *account.Account {
	return b.keys[credential.Hash(key)]
}

// Holds reports whether a client account holds the key with this hash.
func (b *Ingressbook) Holds(hash string) bool {
	return b.keys[hash] != nil
}

// Service returns a service by name, nil if there is none.
func (b *Ingressbook) Service(name string) *service.Service {
	return b.services[name]
}

// Keyed reports whether requests on routes that aren't public need a key.
func (b *Ingressbook) Keyed() bool {
	return len(b.Config.Accounts) > 0
}
