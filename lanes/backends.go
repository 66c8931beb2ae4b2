package lanes

import (
	"slices"
	"sync"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/snapshot"
)

// backends keeps the list of a service's backend servers until the
// configuration or the domains change: every grant of a slot asks for it.
type backends struct {
	service  string
	snapshot func() *snapshot.Snapshot
	domains  func() []string

	mu   sync.Mutex
	from *snapshot.Snapshot
	in   []string
	list []backend.Backend
}

func (c *backends) get() []backend.Backend {
	s := c.snapshot()
	d := c.domains()
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == nil || s == c.from && slices.Equal(d, c.in) {
		return c.list
	}
	c.from = s
	c.in = d
	c.list = nil
	for _, v := range d {
		c.list = append(c.list, s.Backends(v, c.service)...)
	}
	return c.list
}
