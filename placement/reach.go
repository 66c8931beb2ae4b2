package placement

import (
	"slices"
	"time"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/request"
)

// needsForward reports whether another host should send r, for which none of the candidates
// was chosen.
func (p *Placement) needsForward(r *request.Request, l []candidate) bool {
	if p.ReachedByOthers == nil || r.Forwarded || !slices.ContainsFunc(l, func(c candidate) bool { return c.lost }) {
		return false
	}
	if slices.ContainsFunc(p.preferred(r, l), func(c candidate) bool { return p.isForwardable(r, c) }) {
		return true
	}
	return !slices.ContainsFunc(l, func(c candidate) bool { return !c.lost })
}

// isForwardable reports whether a backend server that this host can't reach can be sent r
// by another host. If r itself could not be sent there, the host to which it is forwarded
// may find out.
func (p *Placement) isForwardable(r *request.Request, c candidate) bool {
	if !c.lost || r.Forwarded || p.ReachedByOthers == nil {
		return false
	}
	return c.unsent || p.ReachedByOthers(c.server.backend, p.Reachability.LostAt(c.server.backend))
}

// Restore ends what this host assumed of a backend server while it could not reach it. If
// reachedByOthers is set, other hosts did meanwhile, so it neither restarted nor failed.
func (p *Placement) Restore(b backend.Backend, reachedByOthers bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[b.Name]
	if s == nil {
		return
	}
	s.restoredAt = p.Clock.Now()
	if reachedByOthers {
		s.maybeColdUntil = time.Time{}
		p.pools[s.backend.Service].outlier.Forget(b.Name)
	}
	p.notifyFreed()
}

// IsLost reports whether this host can't open connections to a backend server.
func (p *Placement) IsLost(b backend.Backend) bool {
	return p.Reachability != nil && p.Reachability.IsLost(b)
}

// reaches reports whether b may be sent requests over this host's own links.
func (p *Placement) reaches(b backend.Backend) bool {
	return p.Reachability == nil || p.Reachability.Reaches(b)
}
