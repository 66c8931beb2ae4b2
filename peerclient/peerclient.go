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

// Peerclient keeps one connection for short calls to each address. A call that
// fails closes it, so that the next call dials anew: a connection that has
// gone silent costs one call.
type Peerclient struct {
	// Dial opens a connection.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu    sync.Mutex
	conns map[string]*drpcconn.Conn
}

// Beat exchanges heartbeats.
func (p *Peerclient) Beat(ctx context.Context, address string, h *wire.Heartbeat) (*wire.Heartbeat, error) {
	c, err := p.conn(ctx, address)
	if err != nil {
		return nil, err
	}
	r, err := wire.NewDRPCPeerClient(c).Beat(ctx, h)
	p.check(address, c, err)
	return r, errors.Wrap(err, "heartbeat")
}

// Fetch asks a peer for newer content.
func (p *Peerclient) Fetch(ctx context.Context, address string, f *wire.FetchRequest) (*wire.FetchResponse, error) {
	c, err := p.conn(ctx, address)
	if err != nil {
		return nil, err
	}
	r, err := wire.NewDRPCPeerClient(c).Fetch(ctx, f)
	p.check(address, c, err)
	return r, errors.Wrap(err, "fetch")
}

// Notify tells a peer of new versions and returns the peer's.
func (p *Peerclient) Notify(ctx context.Context, address string, n *wire.Notice) (*wire.Notice, error) {
	c, err := p.conn(ctx, address)
	if err != nil {
		return nil, err
	}
	r, err := wire.NewDRPCPeerClient(c).Notify(ctx, n)
	p.check(address, c, err)
	return r, errors.Wrap(err, "notify")
}

// Borrow asks a peer for a loan.
func (p *Peerclient) Borrow(ctx context.Context, address string, b *wire.BorrowRequest) (*wire.BorrowResponse, error) {
	c, err := p.conn(ctx, address)
	if err != nil {
		return nil, err
	}
	r, err := wire.NewDRPCPeerClient(c).Borrow(ctx, b)
	p.check(address, c, err)
	return r, errors.Wrap(err, "borrow")
}

// Lend brings a peer tokens. They are lost if it returns an error.
func (p *Peerclient) Lend(ctx context.Context, address string, l *wire.Loan) error {
	c, err := p.conn(ctx, address)
	if err != nil {
		return err
	}
	_, err = wire.NewDRPCPeerClient(c).Lend(ctx, l)
	p.check(address, c, err)
	return errors.Wrap(err, "lend")
}

// Permit asks a peer for a permit.
func (p *Peerclient) Permit(ctx context.Context, address string, q *wire.PermitRequest) (*wire.PermitResponse, error) {
	c, err := p.conn(ctx, address)
	if err != nil {
		return nil, err
	}
	r, err := wire.NewDRPCPeerClient(c).Permit(ctx, q)
	p.check(address, c, err)
	return r, errors.Wrap(err, "permit")
}

// Forward opens a stream on a connection of its own, which done closes. A drpc
// connection carries one call at a time, and a slow answer must not hold up
// heartbeats.
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

// Close ends all connections.
func (p *Peerclient) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
	p.conns = nil
}

func (p *Peerclient) conn(ctx context.Context, address string) (*drpcconn.Conn, error) {
	p.mu.Lock()
	c := p.conns[address]
	p.mu.Unlock()
	if c != nil {
		return c, nil
	}
	n, err := p.Dial(ctx, address)
	if err != nil {
		return nil, errors.Wrap(err, "dial peer")
	}
	c = drpcconn.New(n)
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

func (p *Peerclient) check(address string, c *drpcconn.Conn, err error) {
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
