// Package snapshot indexes one accepted configuration for request processing.
package snapshot

import (
	"net/netip"
	"strings"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/blocktable"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/credential"
	"celeryreach.example/celeryreach/preset"
	"celeryreach.example/celeryreach/service"
)

// Snapshot is a configuration with its indexes. It is immutable, so requests
// read it without a lock.
type Snapshot struct {
	// Config is the indexed configuration.
	Config *config.Config
	// Hash is the content hash under which the configuration is stored.
	Hash string
	// Preset is the preset in force.
	Preset preset.Preset

	keys     map[string]credential.Credential
	accounts map[string]account.Account
	services map[string]service.Service
	regions  map[string]bool
	slots    map[string]int
	blocks   blocktable.Blocktable
}

// New indexes c.
func New(c *config.Config, hash string) *Snapshot {
	s := &Snapshot{
		Config:   c,
		Hash:     hash,
		Preset:   c.ActivePreset(),
		keys:     make(map[string]credential.Credential, len(c.Keys)),
		accounts: make(map[string]account.Account, len(c.Accounts)),
		services: make(map[string]service.Service, len(c.Services)),
		regions:  make(map[string]bool, len(c.Regions)),
		slots:    make(map[string]int, len(c.Domains)),
	}
	for _, k := range c.Keys {
		s.keys[k.Hash] = k
	}
	for _, a := range c.Accounts {
		s.accounts[a.Name] = a
	}
	for _, v := range c.Services {
		s.services[v.Name] = v
	}
	for _, r := range c.Regions {
		s.regions[r.Name] = true
	}
	for _, b := range c.Backends {
		s.slots[b.Domain] += b.Slots
	}
	if err := s.blocks.Replace(c.Blocks); err != nil {
		panic(err) // blocks refer to regions, whose number is limited by validation
	}
	return s
}

// Key returns the credential with the given hash.
func (s *Snapshot) Key(hash string) (credential.Credential, bool) {
	k, ok := s.keys[hash]
	return k, ok
}

// Account returns a client account by name.
func (s *Snapshot) Account(name string) (account.Account, bool) {
	a, ok := s.accounts[name]
	return a, ok
}

// Block returns the client block of an address and its nearest region.
func (s *Snapshot) Block(a netip.Addr) (netip.Prefix, string, bool) {
	return s.blocks.Find(a)
}

// Slots returns how many requests a failure domain's backend servers run at the
// same time.
func (s *Snapshot) Slots(domain string) int {
	return s.slots[domain]
}

// HasRegion reports whether a region is configured.
func (s *Snapshot) HasRegion(name string) bool {
	return s.regions[name]
}

// ServiceByName returns a service by name.
func (s *Snapshot) ServiceByName(name string) (service.Service, bool) {
	v, ok := s.services[name]
	return v, ok
}

// ServiceByPath returns the service with the longest prefix of path.
func (s *Snapshot) ServiceByPath(path string) (service.Service, bool) {
	var b service.Service
	ok := false
	for _, v := range s.Config.Services {
		if strings.HasPrefix(path, v.Prefix) && (!ok || len(v.Prefix) > len(b.Prefix)) {
			b = v
			ok = true
		}
	}
	return b, ok
}

// Backends returns the backend servers of a service in a failure domain.
func (s *Snapshot) Backends(domain, service string) []backend.Backend {
	var r []backend.Backend
	for _, b := range s.Config.Backends {
		if b.Domain == domain && b.Service == service {
			r = append(r, b)
		}
	}
	return r
}
