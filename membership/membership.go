// Package membership tracks which other hosts are alive by exchanging heartbeats.
// The platform's list of hosts lags behind and is only used to find hosts to
// contact.
package membership

import (
	"context"
	"maps"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/wire"
)

// Protocol is the version of the messages that this host sends.
const Protocol = 1

// forgetAfterHolds is the time without a heartbeat, in multiples of Hold, after
// which a peer is no longer contacted unless another host's heartbeat names the
// peer. This time is longer than the network partitions of an ordinary year.
const forgetAfterHolds = 1200

// Membership exchanges heartbeats with all peers of the host.
type Membership struct {
	// Clock is the host's monotonic clock.
	Clock clockwork.Clock
	// Log receives one line for each peer that appears, stops sending heartbeats or
	// resumes.
	Log *log.Logger
	// Self describes this host.
	Self func() member.Member
	// Seeds are peer addresses to contact before any list of hosts is known.
	Seeds []string
	// ListHosts returns the platform's list of hosts, with those that have left if it has
	// them.
	ListHosts func(ctx context.Context) ([]member.Member, error)
	// SelectPeers selects the hosts to send heartbeats to; nil selects all hosts.
	SelectPeers func(self member.Member, all []member.Member, alive func(name string) bool) []member.Member
	// Interval is the time between two heartbeats to a peer.
	Interval time.Duration
	// Hold is the time without a heartbeat after which a peer counts as dead.
	Hold time.Duration
	// ListInterval is the time between two reads of the platform's list once it was read,
	// if that is longer than Hold. It is read sooner after a host has left or is heard again.
	ListInterval time.Duration
	// SendHeartbeat sends a heartbeat to an address and returns the reply.
	SendHeartbeat func(ctx context.Context, address string, h *wire.Heartbeat) (*wire.Heartbeat, error)
	// FillHeartbeat adds this host's versions and loads to a heartbeat. If the
	// heartbeat is full, it also adds data that may be slightly out of date.
	FillHeartbeat func(h *wire.Heartbeat)
	// OnHeartbeat is called with each heartbeat and each reply received. For a
	// reply, sent is when this host sent its heartbeat; for a heartbeat that a
	// peer sent, sent is zero.
	OnHeartbeat func(h *wire.Heartbeat, sent time.Time)

	hasList atomic.Bool

	mu        sync.Mutex
	peers     map[string]*peer
	listed    []member.Member
	listedAt  time.Time                // when the platform's list was last read, zero before
	startedAt time.Time                // when Run was called
	replaces  bool                     // the list showed another process of this host that had not left
	listDue   bool                     // a host was heard again, so the list may have changed unheard
	copied    map[string]member.Member // from other hosts' lists, until the platform's is read
	withdrawn map[string]uint64        // incarnations that the platform's list shows as having left, by name
	unlisted  map[string]time.Time     // when hosts that were on the platform's list before left it
	sequence  uint64
	replaced  map[uint64]bool // incarnations of processes that were replaced
	sendNow   chan struct{}   // closed to send the next heartbeats at once
	counted   []string        // result of Known
	countAt   time.Time       // when counted was computed, zero if it is outdated
}

type peer struct {
	member          member.Member
	lastHeartbeatAt time.Time
	lastHeartbeat   *wire.Heartbeat
	known           []*wire.Host // the latest list of hosts received from the peer
	knownDigest     uint64       // hash of known
	ackedDigest     uint64       // hash of the list that the peer has received from this host
	lastFull        time.Time    // when the last full heartbeat was created for the peer
	silenceLogged   bool         // a missing heartbeat was logged
	isSuccessor     bool         // a process of this name was known before this one
}

// Run sends heartbeats until ctx ends.
func (m *Membership) Run(ctx context.Context) error {
	d := make(chan struct{})
	m.mu.Lock()
	m.startedAt = m.Clock.Now()
	m.mu.Unlock()
	go m.pollHostList(ctx, d)
	t := make(map[string]*heartbeatLoop)
	for ctx.Err() == nil {
		m.reconcileLoops(ctx, t)
		select {
		case <-ctx.Done():
		case <-m.Clock.After(m.Interval):
		}
	}
	for _, v := range t {
		v.stop()
	}
	<-d
	return nil
}

// Receive processes a peer's heartbeat and returns the reply.
func (m *Membership) Receive(h *wire.Heartbeat) *wire.Heartbeat {
	m.recordHeartbeat(h, time.Time{})
	return m.newHeartbeat(h.GetFrom().GetName())
}

// SendSoon sends the next heartbeats at once, without waiting for the interval to end.
func (m *Membership) SendSoon() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sendNow != nil {
		close(m.sendNow)
		m.sendNow = nil
	}
}

// sendNowSignal returns the channel that the next call of SendSoon closes.
func (m *Membership) sendNowSignal() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sendNow == nil {
		m.sendNow = make(chan struct{})
	}
	return m.sendNow
}

// Alive returns the peers whose last heartbeat is not older than Hold, ordered by
// name. It includes peers that are shutting down.
func (m *Membership) Alive() []member.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.Clock.Now()
	var r []member.Member
	for _, p := range m.peers {
		if n.Sub(p.lastHeartbeatAt) <= m.Hold {
			r = append(r, p.member)
		}
	}
	sort.Slice(r, func(i, j int) bool { return r[i].Name < r[j].Name })
	return r
}

// IsLeaving reports whether a host is shutting down according to its latest heartbeat.
func (m *Membership) IsLeaving(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[name]
	return p != nil && p.member.Leaving
}

// LastHeartbeat returns the latest heartbeat of a peer that is alive.
func (m *Membership) LastHeartbeat(name string) (*wire.Heartbeat, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[name]
	if p == nil || m.Clock.Since(p.lastHeartbeatAt) > m.Hold {
		return nil, false
	}
	return p.lastHeartbeat, true
}

// recordHeartbeat stores a heartbeat if it supersedes the last one of its host, and
// passes it to OnHeartbeat.
func (m *Membership) recordHeartbeat(h *wire.Heartbeat, sent time.Time) {
	if h.GetFrom() == nil || h.From.Name == m.Self().Name {
		return
	}
	v := fromWire(h.From)
	m.mu.Lock()
	if m.peers == nil {
		m.peers = make(map[string]*peer)
	}
	if m.supersedes(v, h) {
		p := &peer{}
		o := m.peers[v.Name]
		m.listDue = m.listDue || o != nil && !m.isAlive(o, m.Clock.Now())
		if o != nil && o.member.Incarnation == v.Incarnation {
			*p = *o
		} else {
			p.isSuccessor = o != nil
		}
		p.expand(h)
		p.member, p.lastHeartbeatAt, p.lastHeartbeat = fromWire(h.From), m.Clock.Now(), h
		m.peers[v.Name] = p
		m.copyHosts(h.GetAllHosts())
	}
	m.mu.Unlock()
	m.OnHeartbeat(h, sent)
}

// supersedes reports whether a heartbeat is newer than the last one of its host.
// Messages may arrive out of order, and messages of a replaced process may
// arrive after those of its replacement. supersedes therefore records the
// incarnations that were replaced.
func (m *Membership) supersedes(v member.Member, h *wire.Heartbeat) bool {
	p := m.peers[v.Name]
	if p != nil && p.member.Incarnation == v.Incarnation {
		return h.Sequence > p.lastHeartbeat.GetSequence()
	}
	if v.PeerAddress == "" {
		// A short heartbeat of a process whose first full heartbeat has not
		// arrived yet.
		return false
	}
	if m.replaced[v.Incarnation] {
		return false
	}
	if p != nil {
		if m.replaced == nil {
			m.replaced = make(map[uint64]bool)
		}
		m.replaced[p.member.Incarnation] = true
	}
	m.Log.Info("peer appeared", "Host", v.Name, "Incarnation", v.Incarnation, "Domain", v.Domain)
	return true
}

// forget removes peers that have sent no heartbeat for forgetAfterHolds, so that
// replaced hosts are not contacted forever, and hosts that left the platform's list as
// long ago.
func (m *Membership) forget() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for k, p := range m.peers {
		if m.Clock.Since(p.lastHeartbeatAt) > forgetAfterHolds*m.Hold {
			delete(m.peers, k)
			delete(m.replaced, p.member.Incarnation)
		}
	}
	for k, v := range m.unlisted {
		if m.Clock.Since(v) > forgetAfterHolds*m.Hold {
			delete(m.unlisted, k)
		}
	}
}

// logSilentPeers logs peers that stopped sending heartbeats and those that resumed.
// A peer to which this host sends no heartbeats is not silent: the peer exchanges
// heartbeats with other hosts.
func (m *Membership) logSilentPeers(loops map[string]*heartbeatLoop) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.Clock.Now()
	for k, p := range m.peers {
		switch s := n.Sub(p.lastHeartbeatAt) > m.Hold; {
		case s && !p.silenceLogged && loops[p.member.PeerAddress] == nil:
			m.Log.Info("peer has other partners", "Host", k, "Heard", n.Sub(p.lastHeartbeatAt))
			p.silenceLogged = true
		case s && !p.silenceLogged:
			m.Log.Warn("peer silent", "Host", k, "Leaving", p.member.Leaving, "Heard", n.Sub(p.lastHeartbeatAt))
			p.silenceLogged = true
		case !s && p.silenceLogged:
			m.Log.Info("peer heard again", "Host", k)
			p.silenceLogged = false
		}
	}
}

// heartbeatTargets returns the addresses to send heartbeats to: those of the
// hosts that SelectPeers selects, and seeds whose host is not known yet.
func (m *Membership) heartbeatTargets() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.Self()
	l := m.otherHosts()
	k := map[string]bool{o.PeerAddress: true}
	for _, v := range l {
		k[v.PeerAddress] = true
	}
	if m.SelectPeers != nil {
		n := m.Clock.Now()
		l = m.SelectPeers(o, l, func(name string) bool {
			p := m.peers[name]
			return p != nil && n.Sub(p.lastHeartbeatAt) <= m.Hold
		})
	}
	s := map[string]bool{o.PeerAddress: true}
	var r []string
	d := func(a string) {
		if a != "" && !s[a] {
			s[a] = true
			r = append(r, a)
		}
	}
	for _, a := range m.Seeds {
		if m.SelectPeers == nil || !k[a] {
			d(a)
		}
	}
	for _, v := range l {
		d(v.PeerAddress)
	}
	return r
}

// otherHosts returns all known hosts except this one, ordered by name. A host's own
// heartbeat takes precedence over the platform's list, and the list over what other
// hosts report.
func (m *Membership) otherHosts() []member.Member {
	s := maps.Clone(m.copied)
	if s == nil {
		s = make(map[string]member.Member)
	}
	n := m.Clock.Now()
	h := m.heard(n)
	for _, p := range m.peers {
		for _, k := range m.listOf(p, h, n) {
			s[k.Name] = fromWire(k)
		}
	}
	for _, v := range m.listed {
		s[v.Name] = v
	}
	for k, p := range m.peers {
		s[k] = p.member
	}
	delete(s, m.Self().Name)
	r := make([]member.Member, 0, len(s))
	for _, v := range s {
		r = append(r, v)
	}
	sort.Slice(r, func(i, j int) bool { return r[i].Name < r[j].Name })
	return r
}

func toWire(m member.Member) *wire.Host {
	return &wire.Host{
		Name: m.Name, Incarnation: m.Incarnation, Domain: m.Domain, Region: m.Region,
		CallerAddress: m.CallerAddress, PeerAddress: m.PeerAddress,
		OperatorAddress: m.OperatorAddress, Leaving: m.Leaving, Starting: m.Starting,
	}
}

func fromWire(h *wire.Host) member.Member {
	return member.Member{
		Name: h.Name, Incarnation: h.Incarnation, Domain: h.Domain, Region: h.Region,
		CallerAddress: h.CallerAddress, PeerAddress: h.PeerAddress,
		OperatorAddress: h.OperatorAddress, Leaving: h.Leaving, Starting: h.Starting,
	}
}
