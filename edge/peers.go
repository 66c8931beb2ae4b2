package edge

import (
	"context"
	"net"
	"sort"
	"time"

	"celeryreach.example/celeryreach/deadline"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/metric"
	"celeryreach.example/celeryreach/routeindex"
	"celeryreach.example/celeryreach/row"
	"celeryreach.example/celeryreach/wire"
)

const (
	announceTimeout    = 2 * time.Second
	announceRetryDelay = 300 * time.Millisecond
)

func (e *Edge) self() member.Member {
	m := e.Self
	m.Leaving = e.IsLeaving()
	m.Starting = !m.Leaving && !e.IsReady()
	return m
}

// CallerAddresses returns the caller addresses of the available hosts in a region or,
// if there are none, of the available hosts in all regions.
func (e *Edge) CallerAddresses(region string) []string {
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

// applyConfig applies a change of the configuration or of the evacuated failure
// domains.
func (e *Edge) applyConfig(m map[string]row.Row) {
	c, z := e.Decode(m)
	b := e.index.Load()
	if c != nil {
		if b == nil || c.Version > b.Config.Version {
			e.index.Store(routeindex.New(c, b, e.Clock.Now()))
			metric.Metric{Name: gaugeConfigVersion}.Set(float64(c.Version))
			e.tokens.Set(c.Accounts)
			e.Log.Info("configuration in force", "Version", c.Version, "Routes", len(c.Routes), "Accounts", len(c.Accounts))
		}
	}
	e.discovery.SetEvacuated(z)
	if n := e.index.Load(); n != b {
		e.logHomes(n, b)
	}
}

func (e *Edge) composeHeartbeat(h *wire.Heartbeat) {
	h.Versions, h.Listed = e.mirrorSync.Versions(), e.announced.Load()
	h.BackendLimits = e.limits.Observations()
	h.LeavingBackends = e.discovery.Departures()
	e.reportReachability(h)
	h.SuspectRequests = e.quarantine.Report(h.GetFull())
}

func (e *Edge) receiveHeartbeat(h *wire.Heartbeat, _ time.Time) {
	e.limits.Merge(h.GetFrom().GetName(), h.GetBackendLimits())
	e.discovery.Merge(h.GetFrom().GetName(), h.GetLeavingBackends())
	e.forwardHosts.Merge(h)
	// A host tells all hosts of its region and a few of each other one, which tell the rest of theirs.
	e.quarantine.Merge(h.GetFrom().GetName(), h.GetSuspectRequests(), h.GetFrom().GetRegion() != e.Self.Region)
	if a := h.GetFrom().GetPeerAddress(); a != "" {
		e.mirrorSync.HandleVersions(a, h.GetVersions())
	}
}

func (e *Edge) lendTokens(b *wire.BorrowRequest) *wire.BorrowResponse {
	n := e.tokens.LendTo(b.GetBorrower(), b.GetLimit(), int64(b.GetUnits()), int64(b.GetUrgent()))
	return &wire.BorrowResponse{Units: uint64(n), Lender: e.Self.Name}
}

func (e *Edge) receiveTokens(l *wire.Loan) {
	e.Log.Info("tokens brought", "From", l.GetLender(), "Account", l.GetLimit(), "Units", l.GetUnits())
	e.tokens.Receive(l.GetLimit(), int64(l.GetUnits()))
}

func (e *Edge) answerNotice(*wire.Notice) *wire.Notice {
	return &wire.Notice{Versions: e.mirrorSync.Versions()}
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// announce adds this host to the list of hosts in the store and marks it as having left when
// the host starts to leave. It does not wait for the end of the shutdown, because no time
// may be left by then if the store does not respond, and gives up when all waits end.
func (e *Edge) announce(ctx context.Context) error {
	for !e.IsLeaving() && !e.tryAnnounce(ctx) {
		select {
		case <-ctx.Done():
			return nil
		case <-e.shutdown.Begun():
		case <-e.Clock.After(announceRetryDelay):
		}
	}
	select {
	case <-ctx.Done():
	case <-e.shutdown.Begun():
	}
	d := max(e.Clock.Until(e.StopBy()), announceRetryDelay) // without a grace time too
	x, f := deadline.With(context.WithoutCancel(ctx), e.Clock, d)
	defer f()
	for !e.tryWithdraw(x) {
		select {
		case <-ctx.Done():
			return nil
		case <-e.Clock.After(announceRetryDelay):
		}
	}
	return nil
}

func (e *Edge) tryWithdraw(ctx context.Context) bool {
	x, f := context.WithTimeout(ctx, announceTimeout)
	defer f()
	err := e.Withdraw(x, e.Self)
	if err != nil {
		e.Log.Warn("host not withdrawn", "Error", err)
	}
	return err == nil
}

func (e *Edge) tryAnnounce(ctx context.Context) bool {
	x, f := context.WithTimeout(ctx, announceTimeout)
	defer f()
	err := e.Announce(x, e.Self)
	if err != nil {
		e.Log.Warn("host not announced", "Error", err)
		return false
	}
	e.announced.Store(true)
	return true
}

// readHosts reads the list of hosts from the store.
func (e *Edge) readHosts(ctx context.Context) ([]member.Member, error) {
	x, f := context.WithTimeout(ctx, announceTimeout)
	defer f()
	l, err := e.ReadHosts(x)
	if err != nil {
		e.Log.Warn("reading the list of hosts failed", "Error", err)
	}
	return l, err
}
