// Package confighistory keeps the last configuration versions that a host had in
// force, so that an operator whose change conflicts with a newer version can be
// shown the changes in between.
package confighistory

import (
	"sync"

	"celeryreach.example/celeryreach/config"
)

const maxVersions = 32

// Confighistory holds the last versions in memory. A new process starts with none:
// the operator is then shown only the difference from the newest version.
type Confighistory struct {
	mu       sync.Mutex
	versions []*config.Config
}

// Add stores c, unless c is not newer than the newest stored version.
func (h *Confighistory) Add(c *config.Config) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := len(h.versions)
	if n > 0 && h.versions[n-1].Version >= c.Version {
		return
	}
	h.versions = append(h.versions, c)
	if n+1 > maxVersions {
		h.versions = h.versions[1:]
	}
}

// Version returns the configuration with version v, or nil if it is not stored.
func (h *Confighistory) Version(v uint64) *config.Config {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.versions {
		if c.Version == v {
			return c
		}
	}
	return nil
}
