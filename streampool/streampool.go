// Package streampool opens streams to other hosts and keeps their connections
// for a while.
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

// ErrBusy says that too many connections are being opened.
var ErrBusy = errors.New("too many connections are being opened")

// endWait bounds the wait for the end of a stream.
const endWait = 100 * time.Millisecond

// Streampool keeps idle connections. A drpc connection carries one stream at a
// time, so that a slow answer holds up nothing else.
type Streampool struct {
	// Clock measures how long connections are idle.
	Clock clockwork.Clock
	// Dial opens a connection.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Idle is how long a connection is kept after a whole answer came over it.
	// Longer than that nothing proves that it still works.
	Idle time.Duration
	// PerAddress is how many idle connections to an address are kept.
	PerAddress int
	// Dials is how many connections are opened at once. A region that went
	// silent must not tie up every waiting request in a dial.
	Dials int

	mu    sync.Mutex
	idle  map[string][]kept
	dials int
}

type kept struct {
	conn  *drpcconn.Conn
	since time.Time
}

// Open starts a stream. Reused tells that its connection carried others before.
// Done ends the stream; clean tells that it came to its proper end.
func (p *Streampool) Open(ctx context.Context, address string, fresh bool) (s wire.DRPCPeer_ForwardClient, reused bool, done func(clean bool), err error) {
	var c *drpcconn.Conn
	if !fresh {
		c = p.take(address)
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
	return s, reused, func(clean bool) { p.done(address, c, s, clean) }, nil
}

// Run ends all idle connections when ctx ends.
func (p *Streampool) Run(ctx context.Context) error {
	<-ctx.Done()
	p.Close()
	return nil
}

// Close ends all idle connections.
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

func (p *Streampool) dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	p.mu.Lock()
	if p.dials >= p.Dials {
		p.mu.Unlock()
		return nil, ErrBusy
	}
	p.dials++
	p.mu.Unlock()
	n, err := p.Dial(ctx, address)
	p.mu.Lock()
	p.dials--
	p.mu.Unlock()
	if err != nil {
		return nil, errors.Wrap(err, "forward")
	}
	return drpcconn.New(n), nil
}

// take returns the connection that was used last, and closes those that are
// too old.
func (p *Streampool) take(address string) *drpcconn.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.idle[address]
	n := len(l)
	if n == 0 {
		return nil
	}
	k := l[n-1]
	p.idle[address] = l[:n-1]
	if p.Clock.Since(k.since) > p.Idle || closed(k.conn) {
		for _, v := range l {
			_ = v.conn.Close()
		}
		delete(p.idle, address)
		return nil
	}
	return k.conn
}

// done keeps the connection if the stream has ended on both sides.
func (p *Streampool) done(address string, c *drpcconn.Conn, s wire.DRPCPeer_ForwardClient, clean bool) {
	if !clean {
		_ = c.Close()
		return
	}
	t := p.Clock.AfterFunc(endWait, func() { _ = c.Close() })
	ok := p.drained(s) && s.Close() == nil
	t.Stop()
	if !ok {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.idle[address]
	if len(l) >= p.PerAddress || closed(c) {
		_ = c.Close()
		return
	}
	if p.idle == nil {
		p.idle = make(map[string][]kept)
	}
	p.idle[address] = append(l, kept{conn: c, since: p.Clock.Now()})
}

// drained reads the end of a stream, which follows its last frame at once.
func (p *Streampool) drained(s wire.DRPCPeer_ForwardClient) bool {
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

func closed(c *drpcconn.Conn) bool {
	select {
	case <-c.Closed():
		return true
	default:
		return false
	}
}
