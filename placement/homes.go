package placement

import (
	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/homes"
)

// StandsIn reports whether a backend server that was chosen earlier stands in h. With
// homes, it must still be the process that is listed at its address: what is sent to
// another one could leave the homes, even if that one refuses it.
func (p *Placement) StandsIn(b backend.Backend, h homes.Homes) bool {
	if !h.Bound {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[b.Name]
	if s == nil || s.backend.Address != b.Address || s.backend.Started != b.Started || !h.Allows(s.backend.Region) {
		return false
	}
	return !p.isSharedOutside(b.Address, h)
}

// isSharedOutside reports whether a backend server outside h has an address too.
func (p *Placement) isSharedOutside(address string, h homes.Homes) bool {
	if !h.Bound || address == "" || p.addresses[address] == 1 {
		return false
	}
	for _, o := range p.servers {
		if o.backend.Address == address && !h.Allows(o.backend.Region) {
			return true
		}
	}
	return false
}
