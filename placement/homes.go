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
	return !p.isTakenOver(b, h)
}

// isTakenOver reports whether the address of b may be that of a backend server outside h: of
// one that is listed with it and did not start before b.
func (p *Placement) isTakenOver(b backend.Backend, h homes.Homes) bool {
	if !h.Bound || b.Address == "" || p.addresses[b.Address] == 1 {
		return false
	}
	for _, s := range p.servers {
		o := s.backend
		if o.Address == b.Address && !h.Allows(o.Region) && (o.Started == 0 || o.Started >= b.Started) {
			return true
		}
	}
	return false
}
