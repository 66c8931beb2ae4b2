package membership

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// exchangeTimeoutsPerHold is how many exchanges in a row may time out within
// Hold. A connection that no longer responds causes one time-out, and the next
// exchange opens a new connection.
const exchangeTimeoutsPerHold = 6

// heartbeatLoop controls the goroutine that exchanges heartbeats with one
// address. Each address has its own goroutine, so that a peer that does not
// respond does not delay the heartbeats to other peers.
type heartbeatLoop struct {
	cancel context.CancelFunc
	done   chan struct{}
}

func (t *heartbeatLoop) stop() {
	t.cancel()
	<-t.done
}

// reconcileLoops starts and stops heartbeat loops so that there is one for each
// target address.
func (m *Membership) reconcileLoops(ctx context.Context, t map[string]*heartbeatLoop) {
	m.forget()
	m.logSilentPeers(t)
	s := make(map[string]bool)
	for _, a := range m.heartbeatTargets() {
		s[a] = true
		if t[a] == nil {
			x, f := context.WithCancel(ctx)
			t[a] = &heartbeatLoop{cancel: f, done: make(chan struct{})}
			go m.runHeartbeatLoop(x, a, t[a].done)
		}
	}
	for a, v := range t {
		if !s[a] {
			v.stop()
			delete(t, a)
		}
	}
}

func (m *Membership) runHeartbeatLoop(ctx context.Context, address string, done chan<- struct{}) {
	defer close(done)
	for ctx.Err() == nil {
		t := m.Clock.Now()
		n := m.sendNowSignal()
		m.exchange(ctx, address)
		select {
		case <-ctx.Done():
		case <-n:
		case <-m.Clock.After(max(m.Interval-m.Clock.Since(t), time.Millisecond)):
		}
	}
}

// exchange sends one heartbeat and records the reply. The time of sending is
// taken before the heartbeat is created, because the reply is valid for Hold
// from the time of sending, regardless of its latency.
func (m *Membership) exchange(ctx context.Context, address string) {
	x, f := clockwork.WithTimeout(ctx, m.Clock, m.Hold/exchangeTimeoutsPerHold)
	defer f()
	t := m.Clock.Now()
	h, err := m.SendHeartbeat(x, address, m.newHeartbeat(m.peerName(address)))
	if err == nil {
		m.recordHeartbeat(h, t)
	}
}

// peerName returns the name of the peer with an address, empty if it is not known.
func (m *Membership) peerName(address string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	for n, p := range m.peers {
		if p.member.PeerAddress == address {
			return n
		}
	}
	return ""
}
