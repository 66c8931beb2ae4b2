package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"celeryreach.example/celeryreach/wire"
)

// fullHeartbeatsPerHold is how many full heartbeats are sent to a peer within
// Hold. Only full heartbeats carry the data that may be slightly out of date.
// With three of them within Hold, the loss of two in a row does no harm.
const fullHeartbeatsPerHold = 3

// newHeartbeat returns a heartbeat for the peer with the given name. The name is
// empty if the peer is not known yet. The list of hosts is the largest part of a
// heartbeat and rarely changes, so it is omitted while the peer's digest shows
// that it already has the list.
func (m *Membership) newHeartbeat(to string) *wire.Heartbeat {
	h := &wire.Heartbeat{Protocol: Protocol, From: toWire(m.Self()), Full: true, WantsHosts: !m.hasList.Load()}
	for _, v := range m.Alive() {
		h.Known = append(h.Known, toWire(v))
	}
	h.KnownDigest = hostsDigest(h.Known)
	m.mu.Lock()
	m.sequence++
	h.Sequence = m.sequence
	if p := m.peers[to]; p != nil {
		m.compact(h, p)
		h.AllHosts = m.listFor(p)
	}
	m.mu.Unlock()
	m.FillHeartbeat(h)
	return h
}

// compact removes from a heartbeat what the peer already has.
func (m *Membership) compact(h *wire.Heartbeat, p *peer) {
	h.HasDigest = p.knownDigest
	if p.ackedDigest == h.KnownDigest {
		h.Known = nil
	}
	n := m.Clock.Now()
	// A peer that has received no list of hosts from this host may not know this
	// host at all, so the heartbeat for this peer is full.
	h.Full = p.ackedDigest == 0 || n.Sub(p.lastFull) >= m.Hold/fullHeartbeatsPerHold
	if h.Full {
		p.lastFull = n
		return
	}
	h.From = &wire.Host{Name: h.From.Name, Incarnation: h.From.Incarnation, Leaving: h.From.Leaving, Starting: h.From.Starting}
}

// expand restores the fields that were omitted from a heartbeat. If the peer
// omitted a list of hosts that this host does not have, the list stays empty.
// The digest in this host's own heartbeats then shows the peer that the list is
// missing, and the peer's next heartbeat contains it.
func (p *peer) expand(h *wire.Heartbeat) {
	p.ackedDigest = h.HasDigest
	if !h.Full && p.member.PeerAddress != "" {
		l, s := h.From.Leaving, h.From.Starting
		h.From = toWire(p.member)
		h.From.Leaving, h.From.Starting = l, s
	}
	switch {
	case len(h.Known) > 0 || h.KnownDigest == 0:
		p.known = h.Known
		p.knownDigest = h.KnownDigest
	case h.KnownDigest == p.knownDigest:
		h.Known = p.known
	}
}

// hostsDigest returns the hash of a list of hosts, zero for the empty list.
func hostsDigest(l []*wire.Host) uint64 {
	if len(l) == 0 {
		return 0
	}
	var d xxhash.Digest
	for _, h := range l {
		_, _ = d.WriteString(h.Name + "\x00" + h.Domain + "\x00" + h.Region + "\x00")
		_, _ = d.WriteString(h.CallerAddress + "\x00" + h.PeerAddress + "\x00" + h.OperatorAddress + "\x00")
		b := binary.LittleEndian.AppendUint64(nil, h.Incarnation)
		_, _ = d.Write(append(b, boolByte(h.Leaving), boolByte(h.Starting)))
	}
	return d.Sum64()
}

func boolByte(b bool) byte {
	if b {
		return 1
	}
	return 0
}
