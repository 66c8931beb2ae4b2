package host

import (
	"context"
	"sort"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/child"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/demand"
	"celeryreach.example/celeryreach/division"
	"celeryreach.example/celeryreach/divisionwriter"
	"celeryreach.example/celeryreach/entitlement"
	"celeryreach.example/celeryreach/grant"
	"celeryreach.example/celeryreach/holder"
	"celeryreach.example/celeryreach/loan"
	"celeryreach.example/celeryreach/quota"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/wire"
)

const (
	// leasedShareLifetime is how long leased shares of limits stay valid after
	// the host's last read of the division table.
	leasedShareLifetime = time.Hour
	// pollsPerHold is how many times per Hold period a host reads the division
	// table.
	pollsPerHold = 3
	// minDemandDivisionInterval is the minimum time between two divisions that
	// only adapt to changed demand.
	minDemandDivisionInterval = 5 * time.Second
	demandSampleInterval      = time.Second
	loanDuration              = 250 * time.Millisecond

	divisionKind = "Division"
)

func (x *components) account(name string) (account.Account, bool) {
	s := x.configFollower.Snapshot()
	if s == nil {
		return account.Account{}, false
	}
	return s.Account(name)
}

// limits holds the components that determine how much of each limit this host
// may use. A division assigns shares of each limit to failure domains and
// hosts; its version number is the epoch.
type limits struct {
	entitlement    *entitlement.Entitlement
	divisionWriter *divisionwriter.Divisionwriter
	demand         *demand.Demand
	loan           *loan.Loan
	fetches        chan uint64
}

// newLimits creates the components of limits, and the quota that admits
// requests within them.
func (x *components) newLimits() {
	h := x.host
	m := x.self()
	s := holder.Holder{Name: m.Name, Incarnation: m.Incarnation, Domain: m.Domain, Region: m.Region}
	x.quota = &quota.Quota{Clock: h.Clock, Account: x.account, Grant: x.grant, Hold: h.Settings.Hold}
	l := &limits{fetches: make(chan uint64, 1)}
	l.entitlement = &entitlement.Entitlement{
		Clock: h.Clock, Self: s, Hold: h.Settings.Hold, StoreHold: leasedShareLifetime, TickInterval: h.Settings.Heartbeat,
		BeforeChange: x.quota.RefillAll, RevokedSlotsInUse: x.overcommitted, LoanDuration: loanDuration + loanDuration/10,
	}
	l.demand = &demand.Demand{Clock: h.Clock, Hold: h.Settings.Hold, Account: x.account}
	l.loan = loan.New(h.Clock, loanDuration)
	l.loan.Self, l.loan.Lenders, l.loan.Send, l.loan.OnReceived = m.Name, x.tokenLenders, x.peerClient.Borrow, x.quota.Receive
	x.quota.Borrow = l.loan.Borrow
	l.divisionWriter = &divisionwriter.Divisionwriter{
		Clock: h.Clock, Log: h.Log, Store: h.Store, Entitlement: l.entitlement, Alive: x.activeHolders, Config: x.config,
		Demand: l.demand.Fractions, IsListed: x.membership.IsListed, ReadInterval: h.Settings.Hold / pollsPerHold, MinEpochInterval: minDemandDivisionInterval,
	}
	x.limits = l
}

// children returns the supervised tasks of the limits.
func (l *limits) children(x *components) []child.Child {
	return []child.Child{
		{Name: "holding", Run: l.entitlement.Run},
		{Name: "author", Run: l.divisionWriter.Run},
		{Name: "loan", Run: l.loan.Run},
		{Name: "demand", Run: x.sampleDemand},
		{Name: "divisions", Run: x.fetchDivisions},
	}
}

func (x *components) config() *config.Config {
	s := x.configFollower.Snapshot()
	if s == nil {
		return nil
	}
	return s.Config
}

func (x *components) grant(name string) grant.Grant {
	return x.limits.entitlement.Rate(name)
}

// confirmToken reports whether a request's rate token is still valid. It is
// called immediately before the request is sent to a backend server.
func (x *components) confirmToken(r *request.Request) bool {
	return r.Admitted.IsZero() || x.quota.ConfirmToken(r.Credential.Account, r.Admitted)
}

// overcommitted reports whether more slots of some backend server are in use
// than this host owns.
func (x *components) overcommitted() bool {
	s := x.configFollower.Snapshot()
	if s == nil {
		return false
	}
	for _, b := range s.Config.Backends {
		if n := x.serviceQueues.Committed(b); n > 0 && n > x.ownedSlots(b) {
			return true
		}
	}
	return false
}

// activeHolders returns the processes that this host or one of its peers has
// recently received heartbeats from and that are not shutting down.
func (x *components) activeHolders() []holder.Holder {
	s := x.limits.entitlement.Self
	m := map[string]holder.Holder{}
	l := x.leaving.Load()
	if !l {
		m[s.Name] = s
	}
	var far []*wire.Host
	for _, v := range x.membership.Alive() {
		if !v.Leaving {
			m[v.Name] = holder.Holder{Name: v.Name, Incarnation: v.Incarnation, Domain: v.Domain, Region: v.Region}
		}
		if h, ok := x.membership.LastHeartbeat(v.Name); ok {
			far = append(far, h.Known...)
		}
	}
	for _, v := range far {
		if _, ok := m[v.Name]; !ok && !v.Leaving && v.Name != s.Name && !x.membership.IsLeaving(v.Name) {
			m[v.Name] = holder.Holder{Name: v.Name, Incarnation: v.Incarnation, Domain: v.Domain, Region: v.Region}
		}
	}
	r := make([]holder.Holder, 0, len(m))
	for _, h := range m {
		r = append(r, h)
	}
	sort.Slice(r, func(i, j int) bool { return r[i].Name < r[j].Name })
	return r
}

// fillLimits adds to a heartbeat the division epoch and, in full heartbeats,
// the demand of each account.
func (x *components) fillLimits(h *wire.Heartbeat) {
	h.Versions = append(h.Versions, &wire.Version{Kind: divisionKind, Version: x.limits.entitlement.ReportEpoch()})
	if !h.Full {
		return
	}
	for n, v := range x.limits.demand.ForHost(x.host.Settings.Name) {
		h.Demands = append(h.Demands, &wire.Demand{Account: n, Rate: v})
	}
}

// handleLimits processes the division epoch and the demand in a peer's
// heartbeat.
func (x *components) handleLimits(h *wire.Heartbeat, sent time.Time) {
	if h.Full {
		d := make(map[string]float64, len(h.Demands))
		for _, v := range h.Demands {
			d[v.Account] = v.Rate
		}
		x.limits.demand.Record(h.From.Name, d)
	}
	e := divisionEpoch(h)
	x.limits.entitlement.RecordPeerEpoch(h.From.Name, h.From.Incarnation, e, sent)
	if e > x.limits.entitlement.Epoch() {
		select {
		case x.limits.fetches <- e:
		default:
		}
	}
}

func divisionEpoch(h *wire.Heartbeat) uint64 {
	for _, v := range h.Versions {
		if v.Kind == divisionKind {
			return v.Version
		}
	}
	return 0
}

// fetchDivisions fetches newer divisions from the peers whose heartbeats report
// them. A new epoch thereby reaches every host within one heartbeat, including
// hosts that cannot read the division table.
func (x *components) fetchDivisions(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-x.limits.fetches:
		}
		for _, m := range x.membership.Alive() {
			e := x.limits.entitlement.Epoch()
			if h, ok := x.membership.LastHeartbeat(m.Name); ok && divisionEpoch(h) > e {
				x.fetchDivision(ctx, m.PeerAddress, e)
			}
		}
	}
}

func (x *components) fetchDivision(ctx context.Context, address string, have uint64) {
	c, f := clockwork.WithTimeout(ctx, x.host.Clock, x.host.Settings.Hold/pollsPerHold)
	defer f()
	r, err := x.peerClient.Fetch(c, address, &wire.FetchRequest{Kind: divisionKind, Have: have})
	if err != nil || r.Version <= have {
		return
	}
	var d division.Division
	if err := codec.Unmarshal(r.Content, &d); err != nil {
		x.host.Log.Error("cannot decode division", "From", address, "Error", err)
		return
	}
	x.limits.entitlement.ApplyDivision(d, time.Time{})
}

// handleDivisionFetch answers a peer that requests a division newer than the
// one it has.
func (x *components) handleDivisionFetch(have uint64) *wire.FetchResponse {
	d, ok := x.limits.entitlement.Current()
	if !ok || d.Epoch <= have {
		return &wire.FetchResponse{}
	}
	b, err := codec.Marshal(d)
	if err != nil {
		return &wire.FetchResponse{}
	}
	return &wire.FetchResponse{Version: d.Epoch, Content: b}
}

func (x *components) sampleDemand(ctx context.Context) error {
	t := x.host.Clock.Now()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-x.host.Clock.After(demandSampleInterval):
			n := x.host.Clock.Now()
			x.limits.demand.Record(x.host.Settings.Name, x.quota.Demands(n.Sub(t)))
			t = n
		}
	}
	return nil
}

// tokenLenders returns the peer addresses of the hosts from which this host
// requests loans of an account's tokens.
func (x *components) tokenLenders(name string) []string {
	var l []holder.Holder
	a := make(map[string]string)
	for _, m := range x.membership.Alive() {
		if !m.Leaving {
			l = append(l, holder.Holder{Name: m.Name, Incarnation: m.Incarnation, Domain: m.Domain, Region: m.Region})
			a[m.Name] = m.PeerAddress
		}
	}
	r := division.RatePrefix + name
	d, _ := x.limits.entitlement.Current()
	var p []string
	for _, h := range loan.Lenders(x.limits.entitlement.Self, l, d, r, x.limits.demand.Fractions()[r]) {
		p = append(p, a[h.Name])
	}
	return p
}

// lendTokens answers a peer that requests a loan of tokens.
func (x *components) lendTokens(b *wire.BorrowRequest) *wire.BorrowResponse {
	n, ok := strings.CutPrefix(b.Limit, division.RatePrefix)
	d := min(time.Duration(b.ForNanoseconds), loanDuration)
	if !ok || d <= 0 {
		return &wire.BorrowResponse{}
	}
	u, d := x.quota.Lend(n, b.Units, d)
	return &wire.BorrowResponse{Units: u, Lender: x.host.Settings.Name, ForNanoseconds: int64(d)}
}
