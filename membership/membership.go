// Package membership knows which other hosts are alive, by heartbeats. The
// platform's list of hosts lags and only hints whom to try.
package membership

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/wire"
)

// Protocol is the version of the messages that this host sends.
const Protocol = 1

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
	// Interval is the time between two heartbeats to a peer.
	Interval time.Duration
	// Hold is the silence after which a peer counts as gone.
	Hold time.Duration
	// Beat sends a heartbeat to an address and returns the answer.
	Beat func(ctx context.Context, address string, h *wire.Heartbeat) (*wire.Heartbeat, error)
	// Compose fills a heartbeat with this host's versions and loads.
	Compose func(h *wire.Heartbeat)
	// Heard is told of each heartbeat and each answer received. Sent is when
	// this host sent the heartbeat that was answered, zero for heartbeats
	// that a peer began.
	Heard func(h *wire.Heartbeat, sent time.Time)

	mu       sync.Mutex
	peers    map[string]*peer
	listed   []string
	sequence uint64
}

type peer struct {
	member member.Member
	heard  time.Time
	beat   *wire.Heartbeat
}

// Run sends heartbeats until ctx ends.
func (m *Membership) Run(ctx context.Context) error {
	d := make(chan struct{})
	go m.follow(ctx, d)
	for ctx.Err() == nil {
		m.round(ctx)
		select {
		case <-ctx.Done():
		case <-m.Clock.After(m.Interval):
		}
	}
	<-d
	return nil
}

// Receive takes a peer's heartbeat and returns the answer to it.
func (m *Membership) Receive(h *wire.Heartbeat) *wire.Heartbeat {
	m.note(h, time.Time{})
	return m.compose()
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
	m.listed = m.listed[:0]
	for _, v := range l {
		m.listed = append(m.listed, v.PeerAddress)
	}
}

// round sends one heartbeat to each address and waits no longer than Hold for
// the answers, so that one silent peer cannot delay the others for long.
func (m *Membership) round(ctx context.Context) {
	x, f := context.WithTimeout(ctx, m.Interval)
	defer f()
	a := m.addresses()
	d := make(chan struct{}, len(a))
	for _, v := range a {
		go m.exchange(x, v, d)
	}
	for range a {
		<-d
	}
}

func (m *Membership) exchange(ctx context.Context, address string, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	t := m.Clock.Now()
	h, err := m.Beat(ctx, address, m.compose())
	if err == nil {
		m.note(h, t)
	}
}

func (m *Membership) compose() *wire.Heartbeat {
	s := m.Self()
	h := &wire.Heartbeat{Protocol: Protocol, From: host(s)}
	for _, v := range m.Alive() {
		h.Known = append(h.Known, host(v))
	}
	m.mu.Lock()
	m.sequence++
	h.Sequence = m.sequence
	m.mu.Unlock()
	m.Compose(h)
	return h
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
	p := m.peers[v.Name]
	if p == nil || p.member.Incarnation != v.Incarnation {
		m.Log.Info("peer appeared", "Host", v.Name, "Incarnation", v.Incarnation, "Domain", v.Domain)
	}
	m.peers[v.Name] = &peer{member: v, heard: m.Clock.Now(), beat: h}
	m.mu.Unlock()
	m.Heard(h, sent)
}

// addresses returns every address that may be a peer's.
func (m *Membership) addresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := map[string]bool{m.Self().PeerAddress: true}
	var r []string
	add := func(a string) {
		if a != "" && !s[a] {
			s[a] = true
			r = append(r, a)
		}
	}
	for _, a := range m.Seeds {
		add(a)
	}
	for _, a := range m.listed {
		add(a)
	}
	for _, p := range m.peers {
		add(p.member.PeerAddress)
		for _, k := range p.beat.GetKnown() {
			add(k.PeerAddress)
		}
	}
	return r
}

func host(m member.Member) *wire.Host {
	return &wire.Host{
		Name: m.Name, Incarnation: m.Incarnation, Domain: m.Domain, Region: m.Region,
		CallerAddress: m.CallerAddress, PeerAddress: m.PeerAddress,
		OperatorAddress: m.OperatorAddress, Leaving: m.Leaving,
	}
}

func fromHost(h *wire.Host) member.Member {
	return member.Member{
		Name: h.Name, Incarnation: h.Incarnation, Domain: h.Domain, Region: h.Region,
		CallerAddress: h.CallerAddress, PeerAddress: h.PeerAddress,
		OperatorAddress: h.OperatorAddress, Leaving: h.Leaving,
	}
}
