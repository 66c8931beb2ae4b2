package host

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"celeryreach.example/celeryreach/admission"
	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/dispatch"
	"celeryreach.example/celeryreach/entry"
	"celeryreach.example/celeryreach/follower"
	"celeryreach.example/celeryreach/forward"
	"celeryreach.example/celeryreach/history"
	"celeryreach.example/celeryreach/idempotency"
	"celeryreach.example/celeryreach/lanes"
	"celeryreach.example/celeryreach/lookup"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/membership"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/peerclient"
	"celeryreach.example/celeryreach/peerserver"
	"celeryreach.example/celeryreach/quota"
	"celeryreach.example/celeryreach/receive"
	"celeryreach.example/celeryreach/request"
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
	quota      *quota.Quota
	dispatch   *dispatch.Dispatch
	forward    *forward.Forward
	receive    *receive.Receive
	lookup     *lookup.Lookup
	admission  *admission.Admission
	history    history.History
	steering   *steering
}

func (h *Host) parts() *parts {
	x := &parts{host: h}
	x.steering = x.newSteering()
	x.follower = x.newFollower()
	x.peerclient = &peerclient.Peerclient{Dial: h.dialPeer}
	x.admission = &admission.Admission{Snapshot: x.follower.Snapshot, Stale: x.stale}
	x.membership = x.newMembership()
	x.lanes = &lanes.Lanes{Clock: h.Clock, Domain: h.Settings.Domain, Snapshot: x.follower.Snapshot, Slots: x.slots}
	x.quota = &quota.Quota{Clock: h.Clock, Account: x.account, Fraction: x.fraction}
	x.dispatch = x.newDispatch()
	x.forward = &forward.Forward{Clock: h.Clock, Targets: x.targets, Open: x.peerclient.Forward}
	x.receive = &receive.Receive{Clock: h.Clock, Snapshot: x.follower.Snapshot, Serve: x.serve}
	x.lookup = x.newLookup()
	x.peerserver = &peerserver.Peerserver{
		OnBeat:    x.membership.Receive,
		OnFetch:   x.steering.relay.Answer,
		OnBorrow:  func(*wire.BorrowRequest) *wire.BorrowResponse { return &wire.BorrowResponse{} },
		OnForward: x.receive.Stream,
		OnNotify:  x.steering.relay.Receive,
	}
	x.steering.relay.Replicas = x.replicas()
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
		Quota: x.quota, Local: x.serve, Forward: x.forward.Serve, EntryHosts: x.entryHosts, Done: x.done,
	}
	m := http.NewServeMux()
	m.Handle("GET /lookup", x.lookup)
	m.Handle("/", e)
	return x.gate(m)
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
	h.Loads = x.lanes.Loads()
	x.composeSteering(h)
}

func (x *parts) heard(h *wire.Heartbeat, _ time.Time) {
	x.heardSteering(h)
}

func (x *parts) done(_ *request.Request, o outcome.Outcome, _ time.Duration) {
	x.host.Counter.Add(o.Outcome)
}

func (x *parts) entryHosts(account, service string) []string {
	a, o := x.lookup.Find(account, service, x.host.Settings.Region, netip.Addr{})
	if o.Outcome != "" {
		return o.EntryHosts
	}
	return a.EntryHosts
}

// siblings returns the names of the hosts of the own failure domain that are
// alive, this one included, in order.
func (x *parts) siblings() (names []string, self int) {
	for _, m := range x.membership.Alive() {
		if m.Domain == x.host.Settings.Domain {
			if m.Name < x.host.Settings.Name {
				self++
			}
			names = append(names, m.Name)
		}
	}
	return append(names, x.host.Settings.Name), self
}

func (x *parts) slots(b backend.Backend) int {
	n, i := x.siblings()
	r := b.Slots / len(n)
	if i < b.Slots%len(n) {
		r++
	}
	return r
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}
