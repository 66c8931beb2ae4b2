// Package peerclient calls other hosts over drpc.
package peerclient

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"

	"celeryreach.example/celeryreach/wire"
)

// Peerclient keeps one connection to each address for unary calls. A failed call closes
// the connection, so that the next call opens a new one: a dead connection costs one
// failed call.
type Peerclient struct {
	// Dial opens a connection.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu    sync.Mutex
	conns map[string]*drpcconn.Conn
}

// Beat sends a heartbeat and returns the peer's heartbeat.
func (p *Peerclient) Beat(ctx context.Context, address string, h *wire.Heartbeat) (*wire.Heartbeat, error) {
	c, err := p.conn(ctx, address)
	if err != nil {
		return nil, err
	}
	r, err := wire.NewDRPCPeerClient(c).Beat(ctx, h)
	p.dropOnError(address, c, err)
	return r, errors.Wrap(err, "heartbeat")
}

// Fetch requests newer content from a peer.
func (p *Peerclient) Fetch(ctx context.Context, address string, f *wire.FetchRequest) (*wire.FetchResponse, error) {
	c, err := p.conn(ctx, address)
	if err != nil {
		return nil, err
	}
	r, err := wire.NewDRPCPeerClient(c).Fetch(ctx, f)
	p.dropOnError(address, c, err)
	return r, errors.Wrap(err, "fetch")
}

// Notify sends the new versions of this host to a peer and returns the peer's versions.
func (p *Peerclient) Notify(ctx context.Context, address string, n *wire.Notice) (*wire.Notice, error) {
	c, err := p.conn(ctx, address)
	if err != nil {
		return nil, err
	}
	r, err := wire.NewDRPCPeerClient(c).Notify(ctx, n)
	p.dropOnError(address, c, err)
	return r, errors.Wrap(err, "notify")
}

// Borrow requests a loan of tokens or slots from a peer.
func (p *Peerclient) Borrow(ctx context.Context, address string, b *wire.BorrowRequest) (*wire.BorrowResponse, error) {
	c, err := p.conn(ctx, address)
	if err != nil {
		return nil, err
	}
	r, err := wire.NewDRPCPeerClient(c).Borrow(ctx, b)
	p.dropOnError(address, c, err)
	return r, errors.Wrap(err, "borrow")
}

// Lend transfers tokens to a peer. The tokens are lost if Lend returns an error.
func (p *Peerclient) Lend(ctx context.Context, address string, l *wire.Loan) error {
	c, err := p.conn(ctx, address)
	if err != nil {
		return err
	}
	_, err = wire.NewDRPCPeerClient(c).Lend(ctx, l)
	p.dropOnError(address, c, err)
	return errors.Wrap(err, "lend")
}

// Permit requests a permit from a peer to send a request to a backend server.
func (p *Peerclient) Permit(ctx context.Context, address string, q *wire.PermitRequest) (*wire.PermitResponse, error) {
	c, err := p.conn(ctx, address)
	if err != nil {
		return nil, err
	}
	r, err := wire.NewDRPCPeerClient(c).Permit(ctx, q)
	p.dropOnError(address, c, err)
	return r, errors.Wrap(err, "permit")
}

// Forward opens a stream on a separate connection, which done closes. A drpc connection
// carries one call at a time, and a slow response must not delay heartbeats.
func (p *Peerclient) Forward(ctx context.Context, address string) (s wire.DRPCPeer_ForwardClient, done func(), err error) {
	n, err := p.Dial(ctx, address)
	if err != nil {
		return nil, nil, errors.Wrap(err, "forward")
	}
	c := drpcconn.New(n)
	s, err = wire.NewDRPCPeerClient(c).Forward(ctx)
	if err != nil {
		_ = c.Close()
		return nil, nil, errors.Wrap(err, "forward")
	}
	return s, func() { _ = c.Close() }, nil
}

// Close closes all connections that are kept for unary calls.
func (p *Peerclient) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
	p.conns = nil
}

func (p *Peerclient) conn(ctx context.Context, address string) (*drpcconn.Conn, error) {
	if c := p.openConn(address); c != nil {
		return c, nil
	}
	n, err := p.Dial(ctx, address)
	if err != nil {
		return nil, errors.Wrap(err, "dial peer")
	}
	c := drpcconn.New(n)
	p.mu.Lock()
	defer p.mu.Unlock()
	if o := p.conns[address]; o != nil {
		_ = c.Close()
		return o, nil
	}
	if p.conns == nil {
		p.conns = make(map[string]*drpcconn.Conn)
	}
	p.conns[address] = c
	return c, nil
}

// openConn returns the connection to an address that is kept, nil if there is none. The peer may
// have closed it.
func (p *Peerclient) openConn(address string) *drpcconn.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.conns[address]
	if c == nil {
		return nil
	}
	select {
	case <-c.Closed():
		delete(p.conns, address)
		return nil
	default:
		return c
	}
}

// dropOnError closes a connection whose call failed and removes it from conns.
func (p *Peerclient) dropOnError(address string, c *drpcconn.Conn, err error) {
	if err == nil {
		return
	}
	p.mu.Lock()
	if p.conns[address] == c {
		delete(p.conns, address)
	}
	p.mu.Unlock()
	_ = c.Close()
}
