package host

import (
	"context"
	"sort"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/author"
	"celeryreach.example/celeryreach/child"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/demand"
	"celeryreach.example/celeryreach/division"
	"celeryreach.example/celeryreach/grant"
	"celeryreach.example/celeryreach/holder"
	"celeryreach.example/celeryreach/holding"
	"celeryreach.example/celeryreach/loan"
	"celeryreach.example/celeryreach/quota"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/wire"
)

const (
	// storeHold is how long leased parts last without a reading of the table.
	storeHold = time.Hour
	// pollsPerHold is how often within Hold a host reads the table.
	pollsPerHold = 3
	// followEvery is the least time between two divisions that only follow
	// the demand.
	followEvery = 5 * time.Second
	demandEvery = time.Second
	loanFor     = 250 * time.Millisecond

	divisionKind = "Division"
)

func (x *parts) account(name string) (account.Account, bool) {
	s := x.follower.Snapshot()
	if s == nil {
		return account.Account{}, false
	}
	return s.Account(name)
}

// limits are the parts that decide what this host may use of each limit.
type limits struct {
	holding *holding.Holding
	author  *author.Author
	demand  *demand.Demand
	loan    *loan.Loan
	fetches chan uint64
}

// newLimits makes the limits and the quota that admits by them.
func (x *parts) newLimits() {
	h := x.host
	m := x.self()
	s := holder.Holder{Name: m.Name, Incarnation: m.Incarnation, Domain: m.Domain, Region: m.Region}
	x.quota = &quota.Quota{Clock: h.Clock, Account: x.account, Grant: x.grant, Hold: h.Settings.Hold}
	l := &limits{fetches: make(chan uint64, 1)}
	l.holding = &holding.Holding{
		Clock: h.Clock, Self: s, Hold: h.Settings.Hold, StoreHold: storeHold, Every: h.Settings.Heartbeat,
		Changing: x.quota.Sync, Busy: x.overcommitted, Owed: loanFor + loanFor/10,
	}
	l.demand = &demand.Demand{Clock: h.Clock, Hold: h.Settings.Hold, Account: x.account}
	l.loan = loan.New(h.Clock, loanFor)
	l.loan.Self, l.loan.Lenders, l.loan.Ask, l.loan.Received = m.Name, x.lenders, x.peerclient.Borrow, x.quota.Receive
	x.quota.Borrow = l.loan.Borrow
	l.author = &author.Author{
		Clock: h.Clock, Log: h.Log, Platform: h.Platform, Holding: l.holding, Alive: x.holders, Config: x.config,
		Demand: l.demand.Fractions, Listed: x.membership.OnList, Every: h.Settings.Hold / pollsPerHold, Least: followEvery,
	}
	x.limits = l
}

// children are the supervised parts of the limits.
func (l *limits) children(x *parts) []child.Child {
	return []child.Child{
		{Name: "holding", Run: l.holding.Run},
		{Name: "author", Run: l.author.Run},
		{Name: "loan", Run: l.loan.Run},
		{Name: "demand", Run: x.sampleDemand},
		{Name: "divisions", Run: x.fetchDivisions},
	}
}

func (x *parts) config() *config.Config {
	s := x.follower.Snapshot()
	if s == nil {
		return nil
	}
	return s.Config
}

func (x *parts) grant(name string) grant.Grant {
	return x.limits.holding.Rate(name)
}

// confirm reports whether a request's token may still be used, right before the
// request leaves.
func (x *parts) confirm(r *request.Request) bool {
	return r.Admitted.IsZero() || x.quota.Confirm(r.Credential.Account, r.Admitted)
}

// overcommitted reports whether requests run on more slots of a backend server
// than this host has.
func (x *parts) overcommitted() bool {
	s := x.follower.Snapshot()
	if s == nil {
		return false
	}
	for _, b := range s.Config.Backends {
		if n := x.lanes.Committed(b); n > 0 && n > x.slots(b) {
			return true
		}
	}
	return false
}

// holders returns the processes that this host or a peer of it has heard
// lately, and that do not leave.
func (x *parts) holders() []holder.Holder {
	s := x.limits.holding.Self
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
		if h, ok := x.membership.Last(v.Name); ok {
			far = append(far, h.Known...)
		}
	}
	for _, v := range far {
		if _, ok := m[v.Name]; !ok && !v.Leaving && v.Name != s.Name && !x.membership.Leaves(v.Name) {
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

// composeLimits adds to a heartbeat what the other hosts' limits need.
func (x *parts) composeLimits(h *wire.Heartbeat) {
	h.Versions = append(h.Versions, &wire.Version{Kind: divisionKind, Version: x.limits.holding.Report()})
	if !h.Full {
		return
	}
	for n, v := range x.limits.demand.Of(x.host.Settings.Name) {
		h.Demands = append(h.Demands, &wire.Demand{Account: n, Rate: v})
	}
}

// heardLimits takes it from a peer's heartbeat.
func (x *parts) heardLimits(h *wire.Heartbeat, sent time.Time) {
	if h.Full {
		d := make(map[string]float64, len(h.Demands))
		for _, v := range h.Demands {
			d[v.Account] = v.Rate
		}
		x.limits.demand.Note(h.From.Name, d)
	}
	e := version(h)
	x.limits.holding.Heard(h.From.Name, h.From.Incarnation, e, sent)
	if e > x.limits.holding.Epoch() {
		select {
		case x.limits.fetches <- e:
		default:
		}
	}
}

func version(h *wire.Heartbeat) uint64 {
	for _, v := range h.Versions {
		if v.Kind == divisionKind {
			return v.Version
		}
	}
	return 0
}

// fetchDivisions gets newer divisions from the peers that have them, so that
// an epoch is known everywhere within a heartbeat, also without the table.
func (x *parts) fetchDivisions(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-x.limits.fetches:
		}
		for _, m := range x.membership.Alive() {
			e := x.limits.holding.Epoch()
			if h, ok := x.membership.Last(m.Name); ok && version(h) > e {
				x.fetchDivision(ctx, m.PeerAddress, e)
			}
		}
	}
}

func (x *parts) fetchDivision(ctx context.Context, address string, have uint64) {
	c, f := clockwork.WithTimeout(ctx, x.host.Clock, x.host.Settings.Hold/pollsPerHold)
	defer f()
	r, err := x.peerclient.Fetch(c, address, &wire.FetchRequest{Kind: divisionKind, Have: have})
	if err != nil || r.Version <= have {
		return
	}
	var d division.Division
	if err := codec.Unmarshal(r.Content, &d); err != nil {
		x.host.Log.Error("division unreadable", "From", address, "Error", err)
		return
	}
	x.limits.holding.Learn(d, time.Time{})
}

// division answers a peer that asks for a newer one.
func (x *parts) division(have uint64) *wire.FetchResponse {
	d, ok := x.limits.holding.Current()
	if !ok || d.Epoch <= have {
		return &wire.FetchResponse{}
	}
	b, err := codec.Marshal(d)
	if err != nil {
		return &wire.FetchResponse{}
	}
	return &wire.FetchResponse{Version: d.Epoch, Content: b}
}

func (x *parts) sampleDemand(ctx context.Context) error {
	t := x.host.Clock.Now()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-x.host.Clock.After(demandEvery):
			n := x.host.Clock.Now()
			x.limits.demand.Note(x.host.Settings.Name, x.quota.Demands(n.Sub(t)))
			t = n
		}
	}
	return nil
}

// lenders returns whom to ask for an account's tokens.
func (x *parts) lenders(name string) []string {
	var l []holder.Holder
	a := make(map[string]string)
	for _, m := range x.membership.Alive() {
		if !m.Leaving {
			l = append(l, holder.Holder{Name: m.Name, Incarnation: m.Incarnation, Domain: m.Domain, Region: m.Region})
			a[m.Name] = m.PeerAddress
		}
	}
	r := division.RatePrefix + name
	d, _ := x.limits.holding.Current()
	var p []string
	for _, h := range loan.Lenders(x.limits.holding.Self, l, d, r, x.limits.demand.Fractions()[r]) {
		p = append(p, a[h.Name])
	}
	return p
}

// lend answers a peer that asks for tokens.
func (x *parts) lend(b *wire.BorrowRequest) *wire.BorrowResponse {
	n, ok := strings.CutPrefix(b.Limit, division.RatePrefix)
	d := min(time.Duration(b.ForNanoseconds), loanFor)
	if !ok || d <= 0 {
		return &wire.BorrowResponse{}
	}
	u, d := x.quota.Lend(n, b.Units, d)
	return &wire.BorrowResponse{Units: u, Lender: x.host.Settings.Name, ForNanoseconds: int64(d)}
}
