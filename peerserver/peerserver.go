// Package peerserver serves the calls of other hosts over drpc.
package peerserver

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"celeryreach.example/celeryreach/acceptor"
	"celeryreach.example/celeryreach/memorybudget"
	"celeryreach.example/celeryreach/wire"
)

const (
	// maxMessageBytes is far above the longest message that a host sends: the header of a forwarded
	// request.
	maxMessageBytes = 1 << 20
	// acceptPause is the time after an error of Accept, such as too many open descriptors.
	acceptPause = 500 * time.Millisecond
)

// Peerserver serves the calls of other hosts.
type Peerserver struct {
	// Listener accepts connections of other hosts. Run closes it.
	Listener net.Listener
	// Clock measures how long connections take for a call and how long they are idle; nil means the
	// real clock.
	Clock clockwork.Clock
	// MaxConnections is the largest number of open connections; zero means no limit. Before it is
	// reached, idle connections and those without a call end in favor of new ones.
	MaxConnections int
	// Memory is where the memory for messages that are not complete comes from; nil has no limit.
	Memory *memorybudget.Memorybudget
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
	o := drpcserver.Options{Manager: drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}}
	v := drpcserver.NewWithOptions(&guardedHandler{Handler: m}, o)
	l := &guardedListener{
		Listener: &acceptor.Acceptor{Listener: p.Listener}, clock: p.clock(), memory: p.Memory, limit: p.MaxConnections,
		open: make(map[*guardedConn]struct{}),
	}
	return p.serve(ctx, l, v)
}

// serve serves each connection until ctx ends. It returns when all have ended.
func (p *Peerserver) serve(ctx context.Context, l *guardedListener, v *drpcserver.Server) error {
	var g sync.WaitGroup
	defer g.Wait()
	ctx, f := context.WithCancel(ctx)
	defer f()
	defer context.AfterFunc(ctx, func() { _ = l.Close() })()
	for {
		c, err := l.accept(ctx)
		if err == nil {
			g.Go(func() {
				_ = v.ServeOne(c.ctx, c) // the end of the connection, for whatever reason
				_ = c.Close()            // as above
			})
			continue
		}
		var t interface{ Temporary() bool }
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.As(err, &t) && t.Temporary():
			p.pause(ctx)
		default:
			return errors.Wrap(err, "serve peers")
		}
	}
}

func (p *Peerserver) clock() clockwork.Clock {
	if p.Clock == nil {
		return clockwork.NewRealClock()
	}
	return p.Clock
}

// pause waits after an error of Accept.
func (p *Peerserver) pause(ctx context.Context) {
	select {
	case <-p.clock().After(acceptPause):
	case <-ctx.Done():
	}
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
