package servicequeues

import (
	"slices"
	"sync"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/snapshot"
)

// backendCache caches the list of a service's backend servers until the
// configuration or the failure domains change, because every grant of a slot
// reads it.
type backendCache struct {
	service  string
	snapshot func() *snapshot.Snapshot
	domains  func() []string

	mu             sync.Mutex
	cachedSnapshot *snapshot.Snapshot
	cachedDomains  []string
	cached         []backend.Backend
}

func (c *backendCache) get() []backend.Backend {
	s := c.snapshot()
	d := c.domains()
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == nil || s == c.cachedSnapshot && slices.Equal(d, c.cachedDomains) {
		return c.cached
	}
	c.cachedSnapshot = s
	c.cachedDomains = d
	c.cached = nil
	for _, v := range d {
		c.cached = append(c.cached, s.Backends(v, c.service)...)
	}
	return c.cached
}
