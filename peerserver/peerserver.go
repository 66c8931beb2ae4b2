// Package peerserver serves the calls of other hosts over drpc.
package peerserver

import (
	"context"
	"net"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"celeryreach.example/celeryreach/acceptor"
	"celeryreach.example/celeryreach/wire"
)

// Peerserver serves the calls of other hosts.
type Peerserver struct {
	// Listener accepts connections of other hosts. Run closes it.
	Listener net.Listener
	// OnHeartbeat handles heartbeats.
	OnHeartbeat func(h *wire.Heartbeat) *wire.Heartbeat
	// OnFetch handles requests for newer content.
	OnFetch func(f *wire.FetchRequest) *wire.FetchResponse
	// OnBorrow handles requests for loans of tokens or slots.
	OnBorrow func(b *wire.BorrowRequest) *wire.BorrowResponse
	// OnLend receives tokens that this host requested earlier; nil rejects them.
	OnLend func(l *wire.Loan)
	// OnNotify handles notices of new versions.
	OnNotify func(n *wire.Notice) *wire.Notice
	// OnPermit handles requests for permits to send a request to a backend server; nil
	// rejects them.
	OnPermit func(q *wire.PermitRequest) *wire.PermitResponse
	// OnForward handles forwarded requests.
	OnForward func(s wire.DRPCPeer_ForwardStream) error
}

// Run serves until ctx ends.
func (p *Peerserver) Run(ctx context.Context) error {
	m := drpcmux.New()
	if err := wire.DRPCRegisterPeer(m, p); err != nil {
		return errors.Wrap(err, "register peer service")
	}
	err := drpcserver.New(m).Serve(ctx, &acceptor.Acceptor{Listener: p.Listener})
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "serve peers")
}

// Beat handles a heartbeat.
func (p *Peerserver) Beat(_ context.Context, h *wire.Heartbeat) (*wire.Heartbeat, error) {
	return p.OnHeartbeat(h), nil
}

// Fetch handles a request for newer content.
func (p *Peerserver) Fetch(_ context.Context, f *wire.FetchRequest) (*wire.FetchResponse, error) {
	return p.OnFetch(f), nil
}

// Borrow handles a request for a loan of tokens or slots.
func (p *Peerserver) Borrow(_ context.Context, b *wire.BorrowRequest) (*wire.BorrowResponse, error) {
	return p.OnBorrow(b), nil
}

// Lend receives tokens that this host requested earlier.
func (p *Peerserver) Lend(_ context.Context, l *wire.Loan) (*wire.LoanTaken, error) {
	if p.OnLend == nil {
		return nil, errors.New("this host does not borrow tokens")
	}
	p.OnLend(l)
	return &wire.LoanTaken{}, nil
}

// Notify handles a notice of new versions.
func (p *Peerserver) Notify(_ context.Context, n *wire.Notice) (*wire.Notice, error) {
	return p.OnNotify(n), nil
}

// Permit handles a request for a permit.
func (p *Peerserver) Permit(_ context.Context, q *wire.PermitRequest) (*wire.PermitResponse, error) {
	if p.OnPermit == nil {
		return nil, errors.New("this host does not grant permits")
	}
	return p.OnPermit(q), nil
}

// Forward handles a forwarded request.
func (p *Peerserver) Forward(s wire.DRPCPeer_ForwardStream) error {
	return p.OnForward(s)
}
