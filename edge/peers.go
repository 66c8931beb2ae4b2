package edge

import (
	"context"
	"net"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/ingressbook"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/metric"
	"celeryreach.example/celeryreach/row"
	"celeryreach.example/celeryreach/wire"
)

const (
	announceTimeout = 2 * time.Second
	announcePause   = 300 * time.Millisecond
)

func (e *Edge) self() member.Member {
	m := e.Self
	m.Leaving = e.leaving.Load()
	m.Starting = !m.Leaving && !e.Ready()
	return m
}

// Named returns the caller addresses of the hosts that callers of a region may
// use, those of the region or, if it has none, all.
func (e *Edge) Named(region string) []string {
	var near, all []string
	for _, m := range append(e.membership.Alive(), e.self()) {
		if m.Leaving || m.Starting {
			continue
		}
		all = append(all, m.CallerAddress)
		if m.Region == region {
			near = append(near, m.CallerAddress)
		}
	}
	if len(near) == 0 {
		near = all
	}
	sort.Strings(near)
	return near
}

// configured takes a change of the configuration or of the evacuations.
func (e *Edge) configured(m map[string]row.Row, _ time.Time) {
	c, z := e.Decode(m)
	if c != nil {
		if b := e.book.Load(); b == nil || c.Version > b.Config.Version {
			e.book.Store(ingressbook.New(c, b, e.Clock.Now()))
			metric.Metric{Name: gaugeConfig}.Set(float64(c.Version))
			e.tokens.Set(c.Accounts)
			e.Log.Info("configuration in force", "Version", c.Version, "Routes", len(c.Routes), "Accounts", len(c.Accounts))
		}
	}
	e.discovery.Evacuated(z)
}

func (e *Edge) compose(h *wire.Heartbeat) {
	h.Versions = e.copier.Versions()
	h.BackendLimits = e.limits.Tell()
}

func (e *Edge) heard(h *wire.Heartbeat, _ time.Time) {
	e.limits.Hear(h.GetFrom().GetName(), h.GetBackendLimits())
	if a := h.GetFrom().GetPeerAddress(); a != "" {
		// Whoever hears of the other hosts from one of them knows enough to
		// take its part of the limits.
		e.listed.Store(e.listed.Load() || len(h.GetKnown()) > 0)
		e.copier.Heard(a, h.GetVersions())
	}
}

func (e *Edge) lend(b *wire.BorrowRequest) *wire.BorrowResponse {
	n := e.tokens.Give(b.GetBorrower(), b.GetLimit(), int64(b.GetUnits()), int64(b.GetUrgent()))
	return &wire.BorrowResponse{Units: uint64(n), Lender: e.Self.Name}
}

func (e *Edge) take(l *wire.Loan) {
	e.Log.Info("tokens brought", "From", l.GetLender(), "Account", l.GetLimit(), "Units", l.GetUnits())
	e.tokens.Receive(l.GetLimit(), int64(l.GetUnits()))
}

func (e *Edge) notified(*wire.Notice) *wire.Notice {
	return &wire.Notice{Versions: e.copier.Versions()}
}

// refuseForward answers hosts of another kind: each host here reaches backend
// servers itself.
func refuseForward(wire.DRPCPeer_ForwardStream) error {
	return errors.New("this host takes no requests from other hosts")
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// announce puts this host on the store's list, and takes it off when it leaves:
// in the end there may be no time left for a store that does not answer.
func (e *Edge) announce(ctx context.Context) error {
	for !e.announced(ctx) {
		select {
		case <-ctx.Done():
			return nil
		case <-e.left:
			return nil
		case <-e.Clock.After(announcePause):
		}
	}
	select {
	case <-ctx.Done():
	case <-e.left:
	}
	x, f := context.WithTimeout(context.WithoutCancel(ctx), announceTimeout)
	defer f()
	if err := e.Withdraw(x, e.Self); err != nil {
		e.Log.Warn("host not withdrawn", "Error", err)
	}
	return nil
}

func (e *Edge) announced(ctx context.Context) bool {
	x, f := context.WithTimeout(ctx, announceTimeout)
	defer f()
	err := e.Announce(x, e.Self)
	if err != nil {
		e.Log.Warn("host not announced", "Error", err)
	}
	return err == nil
}

// list reads the list of hosts until it is known, and then rarely: membership
// asks at every Hold, and calls to the store are paid for.
func (e *Edge) list() func(ctx context.Context) ([]member.Member, error) {
	var mu sync.Mutex
	var last []member.Member
	var at time.Time
	return func(ctx context.Context) ([]member.Member, error) {
		mu.Lock()
		defer mu.Unlock()
		if !at.IsZero() && e.Clock.Since(at) < listEvery {
			return last, nil
		}
		x, f := context.WithTimeout(ctx, announceTimeout)
		defer f()
		l, err := e.Listed(x)
		if err != nil {
			e.Log.Warn("list of hosts not read", "Error", err)
			return nil, err
		}
		last, at = l, e.Clock.Now()
		e.listed.Store(true)
		return l, nil
	}
}
