package membership

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/wire"
)

// countInterval is how long a result of Known is used again, since Known is called for
// each request.
const countInterval = 100 * time.Millisecond

// joinIntervals is after how many heartbeat intervals the other hosts count a host that has
// started.
const joinIntervals = 2

// HasList reports whether this host has the platform's list of hosts, from the platform or
// from another host that has it. Before, Known may miss hosts that are out of reach.
func (m *Membership) HasList() bool {
	return m.hasList.Load()
}

// Known returns the sorted names of all hosts that may be serving, heard or not: hosts that
// divide a limit by their number must not miss one. Only a host that has left for good is
// omitted, and this host itself while others may not count it. The caller must not change
// the result.
func (m *Membership) Known() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.Clock.Now()
	if m.countAt.IsZero() || n.Sub(m.countAt) >= countInterval {
		m.counted, m.countAt = m.count(n), n
	}
	return m.counted
}

// Hosts returns the members for the names that Known returns, ordered by name.
func (m *Membership) Hosts() []member.Member {
	k := m.Known()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.membersOf(k)
}

// membersOf returns the members for sorted names, ordered by name.
func (m *Membership) membersOf(names []string) []member.Member {
	l := slices.DeleteFunc(append(m.otherHosts(), m.Self()), func(v member.Member) bool {
		_, ok := slices.BinarySearch(names, v.Name)
		return !ok
	})
	slices.SortFunc(l, func(x, y member.Member) int { return strings.Compare(x.Name, y.Name) })
	return l
}

// count returns the names of the hosts that may be serving.
func (m *Membership) count(now time.Time) []string {
	h := m.heard(now)
	// Most of the time no host has left, and this is not needed.
	a := sync.OnceValue(func() bool { return m.hearsAll(h, now) })
	s := make(map[string]bool)
	for k := range m.copied {
		s[k] = true
	}
	for _, v := range m.listed {
		s[v.Name] = true
	}
	for _, p := range m.peers {
		for _, v := range m.listOf(p, h, now) {
			s[v.Name] = true
		}
	}
	for k := range m.unlisted {
		s[k] = s[k] || !a()
	}
	for k, p := range m.peers {
		s[k] = !m.hasLeft(p, now) || !m.listedAt.After(p.lastHeartbeatAt) || m.hasSuccessor(p.member, h) || !a()
	}
	delete(s, m.Self().Name)
	maps.DeleteFunc(s, func(_ string, counted bool) bool { return !counted })
	if len(s) == 0 || m.isCounted(now) {
		s[m.Self().Name] = true
	}
	return slices.Sorted(maps.Keys(s))
}

// isCounted reports whether the other hosts count this one. Those that are out of reach do so
// if they counted the process before.
func (m *Membership) isCounted(now time.Time) bool {
	if len(m.copied) > 0 {
		_, ok := m.copied[m.Self().Name]
		return ok
	}
	return m.replaces || now.Sub(m.startedAt) >= joinIntervals*m.Interval
}

// hasLeft reports whether a host announced its shutdown, by a heartbeat or on the platform's
// list, and then stopped sending heartbeats.
func (m *Membership) hasLeft(p *peer, now time.Time) bool {
	if m.isAlive(p, now) {
		return false
	}
	// Only a later process of its name can have replaced the row of a process that was listed.
	_, ok := m.withdrawn[p.member.Name]
	return m.isLeaving(p.member) || ok && p.lastHeartbeat.GetListed()
}

// isLeaving reports whether a process announced its shutdown.
func (m *Membership) isLeaving(v member.Member) bool {
	n, ok := m.withdrawn[v.Name]
	return v.Leaving || ok && n == v.Incarnation
}

// hasSuccessor reports whether the platform's list or a host that is alive names another
// process of a host than the one that left.
func (m *Membership) hasSuccessor(left member.Member, heard map[string]uint64) bool {
	n, ok := heard[left.Name]
	if ok && n != left.Incarnation && !m.replaced[n] {
		return true
	}
	return slices.ContainsFunc(m.listed, func(v member.Member) bool {
		return v.Name == left.Name && v.Incarnation != left.Incarnation && !m.replaced[v.Incarnation]
	})
}

// heard returns the incarnations of the hosts that this host or one that is alive hears, by
// name.
func (m *Membership) heard(now time.Time) map[string]uint64 {
	h := make(map[string]uint64)
	for _, p := range m.peers {
		if m.isAlive(p, now) {
			for _, v := range p.lastHeartbeat.GetKnown() {
				h[v.Name] = v.Incarnation
			}
		}
	}
	for k, p := range m.peers {
		if m.isAlive(p, now) {
			h[k] = p.member.Incarnation
		}
	}
	return h
}

// listOf returns the hosts that a peer hears. The last list of a peer that has left, or that now
// exchanges heartbeats with others only, is outdated.
func (m *Membership) listOf(p *peer, heard map[string]uint64, now time.Time) []*wire.Host {
	if _, ok := heard[p.member.Name]; !m.isAlive(p, now) && (ok || m.hasLeft(p, now)) {
		return nil
	}
	return p.lastHeartbeat.GetKnown()
}

// hearsAll reports whether all hosts that have not left are heard. Behind a partition, a
// successor of a host that left may serve unheard.
func (m *Membership) hearsAll(heard map[string]uint64, now time.Time) bool {
	return !slices.ContainsFunc(m.otherHosts(), func(v member.Member) bool {
		_, ok := heard[v.Name]
		p := m.peers[v.Name]
		return !ok && !m.isLeaving(v) && (p == nil || !m.hasLeft(p, now))
	})
}

func (m *Membership) isAlive(p *peer, now time.Time) bool {
	return now.Sub(p.lastHeartbeatAt) <= m.Hold
}

// listFor returns the hosts that this host counts, for a peer that has asked for them, and
// none without the platform's list. The peer is on it only if it was counted before its
// process started.
func (m *Membership) listFor(p *peer) []*wire.Host {
	if !m.hasList.Load() || !p.lastHeartbeat.GetWantsHosts() {
		return nil
	}
	var l []*wire.Host
	for _, v := range m.membersOf(m.count(m.Clock.Now())) {
		if v.Name != p.member.Name || p.isSuccessor || m.isListed(v.Name) {
			l = append(l, toWire(v))
		}
	}
	return l
}

// isListed reports whether a list has a host of the given name.
func (m *Membership) isListed(name string) bool {
	_, ok := m.copied[name]
	return ok || slices.ContainsFunc(m.listed, func(v member.Member) bool { return v.Name == name })
}

// copyHosts adds the hosts that another host counts, unless this host has read the
// platform's list itself.
func (m *Membership) copyHosts(l []*wire.Host) {
	if len(l) == 0 || !m.listedAt.IsZero() {
		return
	}
	if m.copied == nil {
		m.copied = make(map[string]member.Member)
	}
	for _, v := range l {
		m.copied[v.Name] = fromWire(v)
	}
	m.countAt = time.Time{}
	if !m.hasList.Swap(true) {
		m.Log.Info("list of hosts taken from another host", "Hosts", len(l))
	}
}
