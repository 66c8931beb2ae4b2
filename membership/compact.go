package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"celeryreach.example/celeryreach/wire"
)

// fullsPerHold is how often within Hold a heartbeat carries what may be a
// little old: often enough that two lost ones in a row do no harm.
const fullsPerHold = 3

// compose makes a heartbeat for a peer, whose name is empty if it is not known
// yet. The list of hosts is the longest part of a heartbeat and hardly ever
// changes, so that it is left out while the peer says that it has it.
func (m *Membership) compose(to string) *wire.Heartbeat {
	h := &wire.Heartbeat{Protocol: Protocol, From: host(m.Self()), Full: true}
	for _, v := range m.Alive() {
		h.Known = append(h.Known, host(v))
	}
	h.KnownDigest = digest(h.Known)
	m.mu.Lock()
	m.sequence++
	h.Sequence = m.sequence
	if p := m.peers[to]; p != nil {
		m.shorten(h, p)
	}
	m.mu.Unlock()
	m.Compose(h)
	return h
}

func (m *Membership) shorten(h *wire.Heartbeat, p *peer) {
	h.HasDigest = p.digest
	if p.has == h.KnownDigest {
		h.Known = nil
	}
	n := m.Clock.Now()
	h.Full = n.Sub(p.full) >= m.Hold/fullsPerHold
	if h.Full {
		p.full = n
	}
}

// expand puts the list of hosts back into a heartbeat that left it out. A list
// that this host does not have stays out: its own heartbeats tell the peer so,
// and the next one brings it.
func (p *peer) expand(h *wire.Heartbeat) {
	p.has = h.HasDigest
	switch {
	case len(h.Known) > 0 || h.KnownDigest == 0:
		p.known = h.Known
		p.digest = h.KnownDigest
	case h.KnownDigest == p.digest:
		h.Known = p.known
	}
}

// digest names a list of hosts; zero names the empty one.
func digest(l []*wire.Host) uint64 {
	if len(l) == 0 {
		return 0
	}
	var d xxhash.Digest
	for _, h := range l {
		_, _ = d.WriteString(h.Name + "\x00" + h.Domain + "\x00" + h.Region + "\x00")
		_, _ = d.WriteString(h.CallerAddress + "\x00" + h.PeerAddress + "\x00" + h.OperatorAddress + "\x00")
		b := binary.LittleEndian.AppendUint64(nil, h.Incarnation)
		_, _ = d.Write(append(b, flag(h.Leaving), flag(h.Starting)))
	}
	return d.Sum64()
}

func flag(b bool) byte {
	if b {
		return 1
	}
	return 0
}
