package fleet

import (
	"context"
	"net"
	"slices"
	"sync"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

const anyLabel = "*"

// network tracks the connections that hosts open to peers and to the platform,
// and simulates partitions between them.
type network struct {
	mu              sync.Mutex
	partitions      map[[2]string]bool
	labelsByAddress map[string][]string
	conns           map[*conn]bool
}

// setLabels records the labels of an address. A host's address has the names of the
// host, its failure domain and its region as labels; the platform's address has
// PlatformLabel.
func (n *network) setLabels(address string, labels []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.labelsByAddress == nil {
		n.labelsByAddress = make(map[string][]string)
	}
	n.labelsByAddress[address] = labels
}

func (n *network) partition(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.partitions == nil {
		n.partitions = make(map[[2]string]bool)
	}
	n.partitions[[2]string{a, b}] = true
	for c := range n.conns {
		if n.isPartitioned(c.from, c.to) {
			c.blackhole()
		}
	}
}

func (n *network) heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.partitions, [2]string{a, b})
	delete(n.partitions, [2]string{b, a})
}

// close closes all open connections.
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

// dialer returns the dial function of a host. A dial across a partition blocks
// until ctx ends or the dial times out, as with lost packets.
func (n *network) dialer(from []string, clock clockwork.Clock) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		n.mu.Lock()
		o := n.labelsByAddress[address]
		s := n.isPartitioned(from, o)
		n.mu.Unlock()
		if s {
			select {
			case <-ctx.Done():
			case <-clock.After(dialTimeout):
			}
			return nil, errors.Errorf("dial %s: timed out in a simulated network partition", address)
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
	if n.isPartitioned(c.from, c.to) {
		c.blackhole()
	}
	return c
}

func (n *network) remove(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

func (n *network) isPartitioned(from, to []string) bool {
	for c := range n.partitions {
		if hasLabel(from, c[0]) && hasLabel(to, c[1]) || hasLabel(from, c[1]) && hasLabel(to, c[0]) {
			return true
		}
	}
	return false
}

func hasLabel(labels []string, label string) bool {
	return label == anyLabel || slices.Contains(labels, label)
}
