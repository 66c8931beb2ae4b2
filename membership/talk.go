package membership

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// timeouts is how many exchanges in a row may fail within Hold. A connection
// that went silent costs one of them, and the next exchange dials anew.
const timeouts = 6

// talk is the exchange of heartbeats with one address. Each has a goroutine of
// its own, so that a silent peer slows down no other.
type talk struct {
	cancel context.CancelFunc
	done   chan struct{}
}

func (t *talk) stop() {
	t.cancel()
	<-t.done
}

// adjust starts and stops exchanges so that there is one for each address.
func (m *Membership) adjust(ctx context.Context, t map[string]*talk) {
	m.forget()
	m.notice(t)
	s := make(map[string]bool)
	for _, a := range m.addresses() {
		s[a] = true
		if t[a] == nil {
			x, f := context.WithCancel(ctx)
			t[a] = &talk{cancel: f, done: make(chan struct{})}
			go m.talk(x, a, t[a].done)
		}
	}
	for a, v := range t {
		if !s[a] {
			v.stop()
			delete(t, a)
		}
	}
}

func (m *Membership) talk(ctx context.Context, address string, done chan<- struct{}) {
	defer close(done)
	for ctx.Err() == nil {
		t := m.Clock.Now()
		n := m.news()
		m.exchange(ctx, address)
		select {
		case <-ctx.Done():
		case <-n:
		case <-m.Clock.After(max(m.Interval-m.Clock.Since(t), time.Millisecond)):
		}
	}
}

// exchange sends one heartbeat. Sent is taken before anything else: the answer
// is good for Hold from then on, however long it was under way.
func (m *Membership) exchange(ctx context.Context, address string) {
	x, f := clockwork.WithTimeout(ctx, m.Clock, m.Hold/timeouts)
	defer f()
	t := m.Clock.Now()
	h, err := m.Beat(x, address, m.compose(m.nameOf(address)))
	if err == nil {
		m.note(h, t)
	}
}

// nameOf returns which peer has an address, empty if none is known.
func (m *Membership) nameOf(address string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	for n, p := range m.peers {
		if p.member.PeerAddress == address {
			return n
		}
	}
	return ""
}
