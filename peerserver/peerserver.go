// Package peerserver answers other hosts over drpc.
package peerserver

import (
	"context"
	"net"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"celeryreach.example/celeryreach/wire"
)

// Peerserver serves the calls of other hosts.
type Peerserver struct {
	// Listener accepts their connections. Run closes it.
	Listener net.Listener
	// OnBeat answers heartbeats.
	OnBeat func(h *wire.Heartbeat) *wire.Heartbeat
	// OnFetch answers questions for newer content.
	OnFetch func(f *wire.FetchRequest) *wire.FetchResponse
	// OnBorrow answers requests for loans.
	OnBorrow func(b *wire.BorrowRequest) *wire.BorrowResponse
	// OnLend takes tokens that this host asked for before; nil takes none.
	OnLend func(l *wire.Loan)
	// OnNotify answers notices of new versions.
	OnNotify func(n *wire.Notice) *wire.Notice
	// OnPermit answers requests for permits; nil gives none.
	OnPermit func(q *wire.PermitRequest) *wire.PermitResponse
	// OnForward runs forwarded requests.
	OnForward func(s wire.DRPCPeer_ForwardStream) error
}

// Run serves until ctx ends.
func (p *Peerserver) Run(ctx context.Context) error {
	m := drpcmux.New()
	if err := wire.DRPCRegisterPeer(m, p); err != nil {
		return errors.Wrap(err, "register peer service")
	}
	err := drpcserver.New(m).Serve(ctx, p.Listener)
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "serve peers")
}

// Beat answers a heartbeat.
func (p *Peerserver) Beat(_ context.Context, h *wire.Heartbeat) (*wire.Heartbeat, error) {
	return p.OnBeat(h), nil
}

// Fetch answers a question for newer content.
func (p *Peerserver) Fetch(_ context.Context, f *wire.FetchRequest) (*wire.FetchResponse, error) {
	return p.OnFetch(f), nil
}

// Borrow answers a request for a loan.
func (p *Peerserver) Borrow(_ context.Context, b *wire.BorrowRequest) (*wire.BorrowResponse, error) {
	return p.OnBorrow(b), nil
}

// Lend takes tokens.
func (p *Peerserver) Lend(_ context.Context, l *wire.Loan) (*wire.LoanTaken, error) {
	if p.OnLend == nil {
		return nil, errors.New("this host borrows no tokens")
	}
	p.OnLend(l)
	return &wire.LoanTaken{}, nil
}

// Notify answers a notice of new versions.
func (p *Peerserver) Notify(_ context.Context, n *wire.Notice) (*wire.Notice, error) {
	return p.OnNotify(n), nil
}

// Permit answers a request for a permit.
func (p *Peerserver) Permit(_ context.Context, q *wire.PermitRequest) (*wire.PermitResponse, error) {
	if p.OnPermit == nil {
		return nil, errors.New("this host gives no permits")
	}
	return p.OnPermit(q), nil
}

// Forward runs a forwarded request.
func (p *Peerserver) Forward(s wire.DRPCPeer_ForwardStream) error {
	return p.OnForward(s)
}
