// Package streampool opens streams to other hosts and reuses their connections.
package streampool

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"

	"celeryreach.example/celeryreach/wire"
)

// ErrBusy is returned while too many connections are being opened.
var ErrBusy = errors.New("too many connections are being opened")

// streamEndTimeout limits the wait for the end of a stream.
const streamEndTimeout = 100 * time.Millisecond

// Streampool keeps idle connections. A drpc connection carries one stream at a time,
// so a slow response does not delay other streams.
type Streampool struct {
	// Clock measures how long connections are idle.
	Clock clockwork.Clock
	// Dial opens a connection.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Idle is how long a connection is kept after a complete response. After a longer
	// time nothing proves that the connection still works.
	Idle time.Duration
	// PerAddress limits the idle connections that are kept for an address.
	PerAddress int
	// MaxDials limits the connections that are opened at the same time, so that an
	// unresponsive region cannot block every waiting request in a dial.
	MaxDials int

	mu      sync.Mutex
	idle    map[string][]idleConn
	dialing int
}

type idleConn struct {
	conn  *drpcconn.Conn
	since time.Time
}

// Open starts a stream. Reused reports whether its connection has carried other
// streams before. Done ends the stream; clean means that the stream was complete.
func (p *Streampool) Open(ctx context.Context, address string, fresh bool) (s wire.DRPCPeer_ForwardClient, reused bool, done func(clean bool), err error) {
	var c *drpcconn.Conn
	if !fresh {
		c = p.takeIdle(address)
	}
	reused = c != nil
	if c == nil {
		c, err = p.dial(ctx, address)
		if err != nil {
			return nil, false, nil, err
		}
	}
	s, err = wire.NewDRPCPeerClient(c).Forward(ctx)
	if err != nil {
		_ = c.Close()
		return nil, reused, nil, errors.Wrap(err, "forward stream")
	}
	return s, reused, func(clean bool) { p.release(address, c, s, clean) }, nil
}

// Run closes all idle connections when ctx ends.
func (p *Streampool) Run(ctx context.Context) error {
	<-ctx.Done()
	p.Close()
	return nil
}

// Close closes all idle connections.
func (p *Streampool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.idle {
		for _, k := range l {
			_ = k.conn.Close()
		}
	}
	p.idle = nil
}

// dial opens a connection unless MaxDials connections are already being opened.
func (p *Streampool) dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	p.mu.Lock()
	if p.dialing >= p.MaxDials {
		p.mu.Unlock()
		return nil, ErrBusy
	}
	p.dialing++
	p.mu.Unlock()
	n, err := p.Dial(ctx, address)
	p.mu.Lock()
	p.dialing--
	p.mu.Unlock()
	if err != nil {
		return nil, errors.Wrap(err, "forward")
	}
	return drpcconn.New(n), nil
}

// takeIdle returns the most recently used connection to an address. If that connection
// is closed or has been idle for too long, takeIdle closes all idle connections to the
// address and returns nil.
func (p *Streampool) takeIdle(address string) *drpcconn.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.idle[address]
	n := len(l)
	if n == 0 {
		return nil
	}
	k := l[n-1]
	p.idle[address] = l[:n-1]
	if p.Clock.Since(k.since) > p.Idle || isClosed(k.conn) {
		for _, v := range l {
			_ = v.conn.Close()
		}
		delete(p.idle, address)
		return nil
	}
	return k.conn
}

// release returns the connection to the pool if the stream has ended on both sides,
// and closes it otherwise.
func (p *Streampool) release(address string, c *drpcconn.Conn, s wire.DRPCPeer_ForwardClient, clean bool) {
	if !clean {
		_ = c.Close()
		return
	}
	t := p.Clock.AfterFunc(streamEndTimeout, func() { _ = c.Close() })
	ok := p.readEnd(s) && s.Close() == nil
	// If the timer has fired, its function may still be about to close the connection, by
	// then in use for the next stream.
	ok = t.Stop() && ok
	if !ok {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.idle[address]
	if len(l) >= p.PerAddress || isClosed(c) {
		_ = c.Close()
		return
	}
	if p.idle == nil {
		p.idle = make(map[string][]idleConn)
	}
	p.idle[address] = append(l, idleConn{conn: c, since: p.Clock.Now()})
}

// readEnd reads until the stream ends and reports whether the stream ended properly.
// The end directly follows the last frame of the stream.
func (p *Streampool) readEnd(s wire.DRPCPeer_ForwardClient) bool {
	for {
		m, err := s.Recv()
		if err != nil {
			return errors.Is(err, io.EOF)
		}
		if !m.GetAlive() {
			return false
		}
	}
}

func isClosed(c *drpcconn.Conn) bool {
	select {
	case <-c.Closed():
		return true
	default:
		return false
	}
}
