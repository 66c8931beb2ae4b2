// Package membership knows which other hosts are alive, by heartbeats. The
// platform's list of hosts lags and only hints whom to try.
package membership

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/holder"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/wire"
)

// Protocol is the version of the messages that this host sends.
const Protocol = 1

// forgetHolds is the silence, in multiples of Hold, after which a peer is no
// longer tried unless somebody else names it. It outlasts the cuts of an
// ordinary year.
const forgetHolds = 1200

// Membership exchanges heartbeats with all peers of the host.
type Membership struct {
	// Clock is the host's monotonic clock.
	Clock clockwork.Clock
	// Log receives one line for each peer that appears or falls silent.
	Log *log.Logger
	// Self describes this host.
	Self func() member.Member
	// Seeds are peer addresses to try before any list is known.
	Seeds []string
	// Listed returns the platform's list of hosts.
	Listed func(ctx context.Context) ([]member.Member, error)
	// Partners chooses whom to send heartbeats to; nil means all hosts.
	Partners func(self member.Member, all []member.Member, alive func(name string) bool) []member.Member
	// Interval is the time between two heartbeats to a peer.
	Interval time.Duration
	// Hold is the silence after which a peer counts as gone.
	Hold time.Duration
	// Beat sends a heartbeat to an address and returns the answer.
	Beat func(ctx context.Context, address string, h *wire.Heartbeat) (*wire.Heartbeat, error)
	// Compose fills a heartbeat with this host's versions and loads, and, if it
	// is a full one, with what may be a little old.
	Compose func(h *wire.Heartbeat)
	// Heard is told of each heartbeat and each answer received. Sent is when
	// this host sent the heartbeat that was answered, zero for heartbeats
	// that a peer began.
	Heard func(h *wire.Heartbeat, sent time.Time)

	mu       sync.Mutex
	peers    map[string]*peer
	listed   []member.Member
	sequence uint64
	replaced map[uint64]bool
	hurry    chan struct{} // closed when there is news
}

type peer struct {
	member member.Member
	heard  time.Time
	beat   *wire.Heartbeat
	known  []*wire.Host // the newest list of hosts that came from it
	digest uint64       // of known
	has    uint64       // the digest of the list that it has from this host
	full   time.Time    // when a full heartbeat was last composed for it
	silent bool         // that nothing is heard of it was logged
}

// Run sends heartbeats until ctx ends.
func (m *Membership) Run(ctx context.Context) error {
	d := make(chan struct{})
	go m.follow(ctx, d)
	t := make(map[string]*talk)
	for ctx.Err() == nil {
		m.adjust(ctx, t)
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

// Receive takes a peer's heartbeat and returns the answer to it.
func (m *Membership) Receive(h *wire.Heartbeat) *wire.Heartbeat {
	m.note(h, time.Time{})
	return m.compose(h.GetFrom().GetName())
}

// Hurry sends the next heartbeats now.
func (m *Membership) Hurry() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hurry != nil {
		close(m.hurry)
		m.hurry = nil
	}
}

// news returns a channel that Hurry closes.
func (m *Membership) news() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hurry == nil {
		m.hurry = make(chan struct{})
	}
	return m.hurry
}

// Alive returns the peers heard within Hold, ordered by name. Leaving peers
// are included.
func (m *Membership) Alive() []member.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.Clock.Now()
	var r []member.Member
	for _, p := range m.peers {
		if n.Sub(p.heard) <= m.Hold {
			r = append(r, p.member)
		}
	}
	sort.Slice(r, func(i, j int) bool { return r[i].Name < r[j].Name })
	return r
}

// Known returns the names of all hosts that may be serving, this one included,
// in order: those on the platform's list and those heard of, alive or cut off.
// Only hosts that said good-bye and then fell silent are left out.
func (m *Membership) Known() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.Clock.Now()
	s := map[string]bool{m.Self().Name: true}
	for _, v := range m.listed {
		s[v.Name] = true
	}
	for k, p := range m.peers {
		s[k] = !p.member.Leaving || n.Sub(p.heard) <= m.Hold
		for _, v := range p.beat.GetKnown() {
			if m.peers[v.Name] == nil {
				s[v.Name] = true
			}
		}
	}
	var r []string
	for k, v := range s {
		if v {
			r = append(r, k)
		}
	}
	sort.Strings(r)
	return r
}

// Hosts returns what is known of the hosts that Known names, ordered by name.
func (m *Membership) Hosts() []member.Member {
	k := m.Known()
	m.mu.Lock()
	defer m.mu.Unlock()
	l := slices.DeleteFunc(append(m.everybody(), m.Self()), func(v member.Member) bool {
		_, ok := slices.BinarySearch(k, v.Name)
		return !ok
	})
	sort.Slice(l, func(i, j int) bool { return l[i].Name < l[j].Name })
	return l
}

// Leaves reports whether the newest word of a host is that it is shutting down.
func (m *Membership) Leaves(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[name]
	return p != nil && p.member.Leaving
}

// OnList reports whether the platform listed a process when last asked.
func (m *Membership) OnList(h holder.Holder) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, v := range m.listed {
		if v.Name == h.Name && v.Incarnation == h.Incarnation {
			return !v.Leaving
		}
	}
	return false
}

// Last returns the newest heartbeat of a peer that is alive.
func (m *Membership) Last(name string) (*wire.Heartbeat, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[name]
	if p == nil || m.Clock.Since(p.heard) > m.Hold {
		return nil, false
	}
	return p.beat, true
}

func (m *Membership) follow(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	for ctx.Err() == nil {
		l, err := m.Listed(ctx)
		if err == nil {
			m.list(l)
		}
		select {
		case <-ctx.Done():
		case <-m.Clock.After(m.Hold):
		}
	}
}

func (m *Membership) list(l []member.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed = l
}

func (m *Membership) note(h *wire.Heartbeat, sent time.Time) {
	if h.GetFrom() == nil || h.From.Name == m.Self().Name {
		return
	}
	v := fromHost(h.From)
	m.mu.Lock()
	if m.peers == nil {
		m.peers = make(map[string]*peer)
	}
	if m.newer(v, h) {
		p := &peer{}
		if o := m.peers[v.Name]; o != nil && o.member.Incarnation == v.Incarnation {
			*p = *o
		}
		p.expand(h)
		p.member, p.heard, p.beat = fromHost(h.From), m.Clock.Now(), h
		m.peers[v.Name] = p
	}
	m.mu.Unlock()
	m.Heard(h, sent)
}

// newer reports whether a message tells more than the last one of that host.
// Messages overtake each other, and those of a replaced process may still come
// in after its replacement's.
func (m *Membership) newer(v member.Member, h *wire.Heartbeat) bool {
	p := m.peers[v.Name]
	if p != nil && p.member.Incarnation == v.Incarnation {
		return h.Sequence > p.beat.GetSequence()
	}
	if v.PeerAddress == "" {
		// A short heartbeat of a process whose full one has not come yet.
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

// forget drops peers that have been silent for long, so that hosts that were
// replaced are not tried for ever.
func (m *Membership) forget() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for k, p := range m.peers {
		if m.Clock.Since(p.heard) > forgetHolds*m.Hold {
			delete(m.peers, k)
			delete(m.replaced, p.member.Incarnation)
		}
	}
}

// notice logs peers that fell silent, and those that are heard again. A peer to
// which this host sends no heartbeats is not silent: it has other partners now.
func (m *Membership) notice(talks map[string]*talk) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.Clock.Now()
	for k, p := range m.peers {
		switch s := n.Sub(p.heard) > m.Hold; {
		case s && !p.silent && talks[p.member.PeerAddress] == nil:
			m.Log.Info("peer has other partners", "Host", k, "Heard", n.Sub(p.heard))
			p.silent = true
		case s && !p.silent:
			m.Log.Warn("peer silent", "Host", k, "Leaving", p.member.Leaving, "Heard", n.Sub(p.heard))
			p.silent = true
		case !s && p.silent:
			m.Log.Info("peer heard again", "Host", k)
			p.silent = false
		}
	}
}

// addresses returns the addresses to send heartbeats to: the partners', and those
// of whom nothing but the address is known.
func (m *Membership) addresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.Self()
	l := m.everybody()
	k := map[string]bool{o.PeerAddress: true}
	for _, v := range l {
		k[v.PeerAddress] = true
	}
	if m.Partners != nil {
		n := m.Clock.Now()
		l = m.Partners(o, l, func(name string) bool {
			p := m.peers[name]
			return p != nil && n.Sub(p.heard) <= m.Hold
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
		if m.Partners == nil || !k[a] {
			d(a)
		}
	}
	for _, v := range l {
		d(v.PeerAddress)
	}
	return r
}

// everybody returns all hosts that were heard or heard of, what they say of
// themselves first, ordered by name.
func (m *Membership) everybody() []member.Member {
	s := make(map[string]member.Member)
	for _, p := range m.peers {
		for _, k := range p.beat.GetKnown() {
			s[k.Name] = fromHost(k)
		}
	}
	for _, v := range m.listed {
		s[v.Name] = v
	}
	for n, p := range m.peers {
		s[n] = p.member
	}
	delete(s, m.Self().Name)
	r := make([]member.Member, 0, len(s))
	for _, v := range s {
		r = append(r, v)
	}
	sort.Slice(r, func(i, j int) bool { return r[i].Name < r[j].Name })
	return r
}

func host(m member.Member) *wire.Host {
	return &wire.Host{
		Name: m.Name, Incarnation: m.Incarnation, Domain: m.Domain, Region: m.Region,
		CallerAddress: m.CallerAddress, PeerAddress: m.PeerAddress,
		OperatorAddress: m.OperatorAddress, Leaving: m.Leaving, Starting: m.Starting,
	}
}

func fromHost(h *wire.Host) member.Member {
	return member.Member{
		Name: h.Name, Incarnation: h.Incarnation, Domain: h.Domain, Region: h.Region,
		CallerAddress: h.CallerAddress, PeerAddress: h.PeerAddress,
		OperatorAddress: h.OperatorAddress, Leaving: h.Leaving, Starting: h.Starting,
	}
}
