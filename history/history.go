// Package history remembers the last versions of the configuration that a host
// had in force, so that an operator whose change came too late can be shown
// what changed in between.
package history

import (
	"sync"

	"celeryreach.example/celeryreach/config"
)

const limit = 32

// History holds a few versions in memory. A host that was replaced has none:
// the operator is then shown the difference to the newest version only.
type History struct {
	mu       sync.Mutex
	versions []*config.Config
}

// Add remembers c, unless it is the newest remembered version already.
func (h *History) Add(c *config.Config) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := len(h.versions)
	if n > 0 && h.versions[n-1].Version >= c.Version {
		return
	}
	h.versions = append(h.versions, c)
	if n+1 > limit {
		h.versions = h.versions[1:]
	}
}

// Version returns a version, nil if it is not remembered.
func (h *History) Version(v uint64) *config.Config {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.versions {
		if c.Version == v {
			return c
		}
	}
	return nil
}
