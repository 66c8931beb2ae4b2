package edge_test

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// network connects hosts without sockets, which virtual time does not wait for.
type network struct {
	way time.Duration // one way between regions

	mu        sync.Mutex
	listeners map[string]*listener
	conns     []net.Conn
}

type listener struct {
	region string
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (n *network) listen(address, region string) *listener {
	l := &listener{region: region, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// dial opens a connection from a region.
func (n *network) dial(ctx context.Context, region, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, errors.Errorf("nobody listens at %s", address)
	}
	d := time.Duration(0)
	if l.region != region {
		d = n.way
	}
	a, b := net.Pipe()
	x, y := delay(a, d), delay(b, d)
	n.mu.Lock()
	n.conns = append(n.conns, x, y)
	n.mu.Unlock()
	select {
	case l.conns <- y:
		return x, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// close ends what hosts have left open, as the end of their processes would.
func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		_ = c.Close()
	}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return nil }

// delayed is a connection whose bytes are under way for a while.
type delayed struct {
	net.Conn
	way  time.Duration
	sent chan segment
	end  chan struct{}
	once sync.Once
}

type segment struct {
	due   time.Time
	bytes []byte
}

func delay(c net.Conn, way time.Duration) net.Conn {
	if way == 0 {
		return c
	}
	d := &delayed{Conn: c, way: way, sent: make(chan segment, 1024), end: make(chan struct{})}
	go d.carry()
	return d
}

func (d *delayed) carry() {
	for {
		select {
		case <-d.end:
			return
		case s := <-d.sent:
			select {
			case <-d.end:
				return
			case <-wall.After(s.due.Sub(wall.Now())):
			}
			if _, err := d.Conn.Write(s.bytes); err != nil {
				return // the reader has closed
			}
		}
	}
}

func (d *delayed) Write(b []byte) (int, error) {
	select {
	case <-d.end:
		return 0, net.ErrClosed
	case d.sent <- segment{due: wall.Now().Add(d.way), bytes: slices.Clone(b)}:
		return len(b), nil
	}
}

func (d *delayed) Close() error {
	d.once.Do(func() { close(d.end) })
	return d.Conn.Close()
}
