package fleet

import (
	"context"
	"net"
	"slices"
	"sync"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

const anywhere = "*"

// network carries the connections between hosts and to the platform.
type network struct {
	mu     sync.Mutex
	cuts   map[[2]string]bool
	places map[string][]string
	conns  map[*conn]bool
}

// place names the places of an address: its host, failure domain and region.
func (n *network) place(address string, labels []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.places == nil {
		n.places = make(map[string][]string)
	}
	n.places[address] = labels
}

func (n *network) cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts == nil {
		n.cuts = make(map[[2]string]bool)
	}
	n.cuts[[2]string{a, b}] = true
	for c := range n.conns {
		if n.separated(c.from, c.to) {
			c.hush()
		}
	}
}

func (n *network) heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, [2]string{a, b})
	delete(n.cuts, [2]string{b, a})
}

// close ends what is still open.
func (n *network) close() {
	n.mu.Lock()
	s := make([]*conn, 0, len(n.conns))
	for c := range n.conns {
		s = append(s, c)
	}
	n.mu.Unlock()
	for _, c := range s {
		_ = c.Close()
	}
}

// dialer returns the dial function of a host. A dial across a cut gets no
// answer until its context or the timeout ends, as with lost packets.
func (n *network) dialer(from []string, clock clockwork.Clock) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		n.mu.Lock()
		o := n.places[address]
		s := n.separated(from, o)
		n.mu.Unlock()
		if s {
			select {
			case <-ctx.Done():
			case <-clock.After(dialTimeout):
			}
			return nil, errors.Errorf("dial %s: no answer", address)
		}
		d := net.Dialer{Timeout: dialTimeout}
		t, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return n.add(&conn{Conn: t, network: n, from: from, to: o, closed: make(chan struct{})}), nil
	}
}

func (n *network) add(c *conn) *conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns == nil {
		n.conns = make(map[*conn]bool)
	}
	n.conns[c] = true
	if n.separated(c.from, c.to) {
		c.hush()
	}
	return c
}

func (n *network) remove(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

func (n *network) separated(from, to []string) bool {
	for c := range n.cuts {
		if within(from, c[0]) && within(to, c[1]) || within(from, c[1]) && within(to, c[0]) {
			return true
		}
	}
	return false
}

func within(labels []string, place string) bool {
	return place == anywhere || slices.Contains(labels, place)
}
