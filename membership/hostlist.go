package membership

import (
	"context"
	"slices"
	"time"

	"celeryreach.example/celeryreach/holder"
	"celeryreach.example/celeryreach/member"
)

// IsListed reports whether the platform's list of hosts, when last read, contained a
// process that was not shutting down.
func (m *Membership) IsListed(h holder.Holder) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.ContainsFunc(m.listed, func(v member.Member) bool {
		return v.Name == h.Name && v.Incarnation == h.Incarnation
	})
}

// pollHostList reads the platform's list of hosts when it is due, which it checks once per
// Hold.
func (m *Membership) pollHostList(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	for ctx.Err() == nil {
		if m.isListDue() {
			t := m.Clock.Now()
			if l, err := m.ListHosts(ctx); err == nil {
				m.setListed(l, t)
			}
		}
		select {
		case <-ctx.Done():
		case <-m.Clock.After(m.Hold):
		}
	}
}

// isListDue reports whether the platform's list must be read: it is old, or a host has left
// or was heard again since it was read.
func (m *Membership) isListDue() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.Clock.Now()
	if m.listDue || m.listedAt.IsZero() || n.Sub(m.listedAt) >= m.ListInterval {
		return true
	}
	for _, p := range m.peers {
		if m.hasLeft(p, n) && m.listedAt.Before(p.lastHeartbeatAt) {
			return true
		}
	}
	return false
}

// setListed sets the platform's list of hosts, as it was at t.
func (m *Membership) setListed(l []member.Member, t time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unlisted == nil {
		m.unlisted = make(map[string]time.Time)
	}
	for _, v := range m.listed {
		m.unlisted[v.Name] = t
	}
	o := m.Self()
	m.listed, m.withdrawn = nil, make(map[string]uint64)
	for _, v := range l {
		if v.Leaving {
			m.withdrawn[v.Name] = v.Incarnation
			continue
		}
		m.listed = append(m.listed, v)
		delete(m.unlisted, v.Name)
		m.replaces = m.replaces || v.Name == o.Name && v.Incarnation != o.Incarnation
	}
	m.listedAt, m.listDue, m.copied, m.countAt = t, false, nil, time.Time{}
	m.hasList.Store(true)
}
