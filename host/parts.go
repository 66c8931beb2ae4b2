package host

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"celeryreach.example/celeryreach/admission"
	"celeryreach.example/celeryreach/change"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/dispatch"
	"celeryreach.example/celeryreach/entry"
	"celeryreach.example/celeryreach/follower"
	"celeryreach.example/celeryreach/forward"
	"celeryreach.example/celeryreach/growth"
	"celeryreach.example/celeryreach/healthcheck"
	"celeryreach.example/celeryreach/idempotency"
	"celeryreach.example/celeryreach/lanes"
	"celeryreach.example/celeryreach/linklimit"
	"celeryreach.example/celeryreach/lookup"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/membership"
	"celeryreach.example/celeryreach/operator"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/peerclient"
	"celeryreach.example/celeryreach/peerserver"
	"celeryreach.example/celeryreach/quota"
	"celeryreach.example/celeryreach/receive"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/slotloan"
	"celeryreach.example/celeryreach/status"
	"celeryreach.example/celeryreach/streampool"
	"celeryreach.example/celeryreach/upstream"
	"celeryreach.example/celeryreach/wire"
)

// parts are the parts of a host, wired to each other.
type parts struct {
	host       *Host
	leaving    atomic.Bool
	follower   *follower.Follower
	membership *membership.Membership
	peerclient *peerclient.Peerclient
	peerserver *peerserver.Peerserver
	lanes      *lanes.Lanes
	loan       *slotloan.Slotloan
	probe      *healthcheck.Healthcheck
	links      *linklimit.Linklimit
	growth     *growth.Growth
	streams    *streampool.Streampool
	quota      *quota.Quota
	dispatch   *dispatch.Dispatch
	forward    *forward.Forward
	receive    *receive.Receive
	lookup     *lookup.Lookup
	admission  *admission.Admission
}

func (h *Host) parts() *parts {
	x := &parts{host: h}
	x.follower = &follower.Follower{Clock: h.Clock, Log: h.Log, Platform: h.Platform, Poll: configPoll}
	x.peerclient = &peerclient.Peerclient{Dial: h.Dial}
	x.admission = &admission.Admission{Snapshot: x.follower.Snapshot}
	x.membership = x.newMembership()
	x.newDomain()
	x.quota = &quota.Quota{Clock: h.Clock, Account: x.account, Fraction: x.fraction}
	x.dispatch = x.newDispatch()
	x.newForwarding()
	x.lookup = &lookup.Lookup{Snapshot: x.follower.Snapshot, Hosts: x.hosts}
	x.peerserver = &peerserver.Peerserver{
		OnBeat:    x.membership.Receive,
		OnFetch:   x.fetch,
		OnBorrow:  x.borrow,
		OnForward: x.receive.Stream,
	}
	return x
}

func (x *parts) newMembership() *membership.Membership {
	h := x.host
	return &membership.Membership{
		Clock: h.Clock, Log: h.Log, Self: x.self, Seeds: h.Settings.Peers, Listed: h.Platform.Hosts,
		Interval: h.Settings.Heartbeat, Hold: h.Settings.Hold, Beat: x.peerclient.Beat,
		Compose: x.compose, Heard: x.heard,
	}
}

func (x *parts) newDispatch() *dispatch.Dispatch {
	h := x.host
	return &dispatch.Dispatch{
		Clock: h.Clock, Queue: x.lanes.Queue, Valid: x.admission.Valid,
		Idempotency: &idempotency.Idempotency{Clock: h.Clock, Platform: h.Platform, Host: h.Settings.Name, Incarnation: h.Incarnation},
		Upstream:    upstream.New(dialTimeout),
		Timeout:     func() time.Duration { return x.follower.Snapshot().Preset.MaxWait },
	}
}

// callers is the handler of the caller address.
func (x *parts) callers() http.Handler {
	e := &entry.Entry{
		Clock: x.host.Clock, Log: x.host.Log, Snapshot: x.follower.Snapshot, Admission: x.admission,
		Quota: x.quota, Local: x.local, Forward: x.forward.Serve, EntryHosts: x.entryHosts, Done: x.done,
	}
	m := http.NewServeMux()
	m.Handle("GET /lookup", x.lookup)
	m.Handle("/", e)
	return m
}

// operators is the handler of the operator address.
func (x *parts) operators() http.Handler {
	return &operator.Operator{
		Log: x.host.Log, Snapshot: x.follower.Snapshot, Change: &change.Change{Platform: x.host.Platform},
		Check: func(*config.Config) []string { return nil }, Status: x.status,
	}
}

func (x *parts) self() member.Member {
	s := x.host.Settings
	return member.Member{
		Name: s.Name, Incarnation: x.host.Incarnation, Domain: s.Domain, Region: s.Region,
		CallerAddress: s.CallerAddress, PeerAddress: s.PeerAddress, OperatorAddress: s.OperatorAddress,
		Leaving: x.leaving.Load(),
	}
}

// hosts returns the hosts that are alive, this one included.
func (x *parts) hosts() []member.Member {
	return append(x.membership.Alive(), x.self())
}

// announce keeps the host on the platform's list and marks it leaving when
// the host shuts down.
func (x *parts) announce(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := x.host.Platform.Announce(ctx, x.self()); err != nil && ctx.Err() == nil {
			x.host.Log.Warn("host not announced", "Error", err)
		}
		select {
		case <-ctx.Done():
		case <-x.host.Clock.After(announceEvery):
		}
	}
	return nil
}

func (x *parts) compose(h *wire.Heartbeat) {
	v, s, _ := x.follower.Content()
	h.Versions = append(h.Versions, &wire.Version{Kind: "Config", Version: v, Hash: s})
	h.Loads = x.lanes.Loads()
}

func (x *parts) heard(*wire.Heartbeat, time.Time) {}

func (x *parts) fetch(f *wire.FetchRequest) *wire.FetchResponse {
	v, h, b := x.follower.Content()
	if f.Kind != "Config" || v <= f.Have {
		return &wire.FetchResponse{}
	}
	return &wire.FetchResponse{Version: v, Hash: h, Content: b}
}

func (x *parts) status() status.Status {
	s := status.Status{Host: x.self(), Peers: x.membership.Alive()}
	if c := x.follower.Snapshot(); c != nil {
		s.ConfigVersion = c.Config.Version
		s.Preset = c.Config.Preset
	}
	return s
}

func (x *parts) done(_ *request.Request, o outcome.Outcome, _ time.Duration) {
	x.host.Counter.Add(o.Outcome)
}

func (x *parts) entryHosts(account, service string) []string {
	a := x.lookup.Find(account, service, x.host.Settings.Region)
	return a.EntryHosts
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}
