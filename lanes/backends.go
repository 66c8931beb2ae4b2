package lanes

import (
	"sync"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/snapshot"
)

// backends keeps the list of a service's backend servers until the
// configuration changes: every grant of a slot asks for it.
type backends struct {
	domain   string
	service  string
	snapshot func() *snapshot.Snapshot

	mu   sync.Mutex
	from *snapshot.Snapshot
	list []backend.Backend
}

func (c *backends) get() []backend.Backend {
	s := c.snapshot()
	c.mu.Lock()
	defer c.mu.Unlock()
	if s != nil && s != c.from {
		c.from = s
		c.list = s.Backends(c.domain, c.service)
	}
	return c.list
}
