package edge_test

import (
	"context"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// memoryNetwork connects hosts in memory, because virtual time does not advance while a
// goroutine waits on a socket.
type memoryNetwork struct {
	latency time.Duration // one way, between regions
	near    time.Duration // one way, within a region

	mu        sync.Mutex
	listeners map[string]*listener
	conns     []pipe
	side      map[string]string // hosts reach those of the same side
	hangs     bool              // what is sent between sides, or to and from dark hosts, gets no answer
	dark      map[string]bool   // hosts without power
	links     links
}

// pipe is a connection between hosts, or to a backend server if from is empty.
type pipe struct {
	from, to string
	ends     [2]net.Conn
	gate     *gate
}

type listener struct {
	region string
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (n *memoryNetwork) listen(address, region string) *listener {
	l := &listener{region: region, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// dial opens a connection from a host to another host.
func (n *memoryNetwork) dial(ctx context.Context, from, region, address string) (net.Conn, error) {
	n.mu.Lock()
	c, h := n.isCut(from, address), n.hangs
	n.mu.Unlock()
	switch {
	case c && h:
		select {
		case <-ctx.Done():
		case <-clock.After(dialTimeout):
		}
		return nil, errors.Errorf("no answer from %s", address)
	case c:
		return nil, errors.Errorf("no route from %s to %s", from, address)
	case h:
		return n.open(ctx, from, region, address, new(gate))
	}
	return n.open(ctx, from, region, address, nil)
}

// isCut reports whether nothing passes between two hosts. The caller holds mu.
func (n *memoryNetwork) isCut(a, b string) bool {
	return n.side[a] != n.side[b] || n.dark[a] || n.dark[b]
}

// setDark takes the power of a host away, or gives it back. Other hosts do not notice; connections
// from before are reset when it is back.
func (n *memoryNetwork) setDark(host string, dark bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.dark == nil {
		n.dark = make(map[string]bool)
	}
	n.dark[host] = dark
	n.setGates()
	for _, p := range n.conns {
		if !dark && (p.from == host || p.to == host) {
			p.close()
		}
	}
}

// setGates holds up what is sent over connections between hosts that are cut off from each other.
func (n *memoryNetwork) setGates() {
	for _, p := range n.conns {
		if p.gate != nil && !strings.Contains(p.to, ":") {
			p.gate.set(!n.isCut(p.from, p.to))
		}
	}
}

// open opens a connection whose bytes pass a gate, if there is one.
func (n *memoryNetwork) open(ctx context.Context, from, region, address string, g *gate) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, refused(address)
	}
	d := n.near
	if l.region != region {
		d = n.latency
	}
	a, b := net.Pipe()
	x, y := delay(a, d, g), delay(b, d, g)
	if v, ok := y.(*delayed); ok {
		v.other, _ = x.(*delayed)
	}
	n.mu.Lock()
	n.conns = append(n.conns, pipe{from: from, to: address, ends: [2]net.Conn{x, y}, gate: g})
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

// close closes the connections that hosts have left open, as the end of their processes
// would.
func (n *memoryNetwork) close() {
	n.links.restoreAll()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.conns {
		if p.gate != nil {
			p.gate.set(true)
		}
		p.close()
	}
	clock.Sleep(2*n.latency + closeTimeout) // until all have delivered
}

// setCut cuts a host off from the others, or joins it to them again.
func (n *memoryNetwork) setCut(host string, cut bool) {
	side := ""
	if cut {
		side = host
	}
	n.setSide(side, host)
}

// setSide moves hosts to a side, and closes the connections between sides. All hosts are on
// the side without a name at first.
func (n *memoryNetwork) setSide(side string, hosts ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.side == nil {
		n.side = make(map[string]string)
	}
	for _, h := range hosts {
		n.side[h] = side
	}
	if n.hangs {
		n.setGates()
		return
	}
	for _, p := range n.conns {
		if !strings.Contains(p.to, ":") && n.side[p.from] != n.side[p.to] {
			p.close()
		}
	}
}

// join moves a host to the side of another one.
func (n *memoryNetwork) join(other, host string) {
	n.mu.Lock()
	s := n.side[other]
	n.mu.Unlock()
	n.setSide(s, host)
}

// closeAll closes the connections from and to a host, and its listener, as the end of its
// process does.
func (n *memoryNetwork) closeAll(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.listeners[host].Close() // it returns no error
	for _, p := range n.conns {
		if p.from == host || p.to == host {
			p.close()
		}
	}
}

func (p pipe) close() {
	for _, c := range p.ends {
		_ = c.Close() // a closed end stays closed
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

// dialTimeout is how long a host waits for a connection to another one.
const dialTimeout = time.Second

// closeTimeout is how long after its closing a connection may take to deliver what was
// written before.
const closeTimeout = time.Second

// delayed is a connection that delivers written bytes after a latency, also those that
// were written just before it was closed.
type delayed struct {
	net.Conn
	latency time.Duration
	gate    *gate
	sent    chan segment
	end     chan struct{}
	once    sync.Once
	other   *delayed     // the end that opened the connection, nil for that end
	written atomic.Int64 // when the bytes last delivered were written, since the Unix epoch
}

type segment struct {
	due   time.Time
	bytes []byte
}

func delay(c net.Conn, way time.Duration, g *gate) net.Conn {
	if way == 0 && g == nil {
		return c
	}
	d := &delayed{Conn: c, latency: way, gate: g, sent: make(chan segment, 1024), end: make(chan struct{})}
	go d.deliver()
	return d
}

func (d *delayed) deliver() {
	defer d.Conn.Close()
	for {
		select {
		case s := <-d.sent:
			if !d.write(s) {
				return
			}
			continue
		default:
		}
		select {
		case s := <-d.sent:
			if !d.write(s) {
				return
			}
		case <-d.end:
			if len(d.sent) == 0 {
				clock.Sleep(d.latency) // until the other end notices
				d.gate.pass()
				return
			}
		}
	}
}

// write delivers a segment, and reports whether the reader has not closed.
func (d *delayed) write(s segment) bool {
	clock.Sleep(s.due.Sub(clock.Now()))
	d.gate.pass()
	select {
	case <-d.end: // maybe closed while the gate was
		if err := d.SetWriteDeadline(clock.Now().Add(closeTimeout)); err != nil {
			return false
		}
	default:
	}
	d.written.Store(s.due.Add(-d.latency).UnixNano())
	_, err := d.Conn.Write(s.bytes)
	return err == nil
}

func (d *delayed) Read(b []byte) (int, error) {
	n, err := d.Conn.Read(b)
	select {
	case <-d.end:
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

func (d *delayed) Write(b []byte) (int, error) {
	select {
	case <-d.end:
		return 0, net.ErrClosed
	case d.sent <- segment{due: clock.Now().Add(d.latency), bytes: slices.Clone(b)}:
		return len(b), nil
	}
}

func (d *delayed) Close() error {
	var err error
	d.once.Do(func() {
		close(d.end)
		n := clock.Now()
		err = errors.Wrap(d.SetReadDeadline(n), "close")
		if err == nil && d.gate.isOpen() {
			err = errors.Wrap(d.SetWriteDeadline(n.Add(closeTimeout)), "close")
		}
	})
	return err
}

// isJoined reports whether two hosts reach each other.
func (n *memoryNetwork) isJoined(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.isCut(a, b)
}
