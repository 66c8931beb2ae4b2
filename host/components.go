package host

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"celeryreach.example/celeryreach/burncounter"
	"celeryreach.example/celeryreach/countstore"

	"celeryreach.example/celeryreach/authenticator"
	"celeryreach.example/celeryreach/configfollower"
	"celeryreach.example/celeryreach/confighistory"
	"celeryreach.example/celeryreach/dispatch"
	"celeryreach.example/celeryreach/forward"
	"celeryreach.example/celeryreach/lookup"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/membership"
	"celeryreach.example/celeryreach/peerclient"
	"celeryreach.example/celeryreach/peerserver"
	"celeryreach.example/celeryreach/quota"
	"celeryreach.example/celeryreach/receive"
	"celeryreach.example/celeryreach/servicequeues"
	"celeryreach.example/celeryreach/wire"
)

// components holds the connected components of a host.
type components struct {
	host           *Host
	leaving        atomic.Bool
	configFollower *configfollower.Configfollower
	membership     *membership.Membership
	peerClient     *peerclient.Peerclient
	peerserver     *peerserver.Peerserver
	serviceQueues  *servicequeues.Servicequeues
	localDomain    *localDomain
	quota          *quota.Quota
	limits         *limits
	dispatch       *dispatch.Dispatch
	forward        *forward.Forward
	receive        *receive.Receive
	lookup         *lookup.Lookup
	authenticator  *authenticator.Authenticator
	history        confighistory.Confighistory
	burnCounter    *burncounter.Burncounter
	countStore     *countstore.Countstore
	steering       *steering
	requests       requests
}

func (h *Host) newComponents() *components {
	x := &components{host: h}
	x.steering = x.newSteering()
	x.configFollower = x.newConfigFollower()
	x.peerClient = &peerclient.Peerclient{Dial: h.dialPeer}
	x.authenticator = &authenticator.Authenticator{Snapshot: x.configFollower.Snapshot, AreKeysStale: x.areKeysStale}
	x.membership = x.newMembership()
	x.newLimits()
	x.newLocalDomain()
	x.newRequests()
	x.newBurnCounter()
	x.lookup = x.newLookup()
	x.peerserver = &peerserver.Peerserver{
		Clock:       h.Clock,
		OnHeartbeat: x.membership.Receive,
		OnFetch:     x.handleFetch,
		OnBorrow:    x.handleBorrow,
		OnForward:   x.receive.Stream,
		OnNotify:    x.steering.relay.Receive,
	}
	x.steering.relay.Replicas = x.replicas()
	return x
}

func (x *components) newMembership() *membership.Membership {
	h := x.host
	return &membership.Membership{
		Clock: h.Clock, Log: h.Log, Self: x.self, Seeds: h.Settings.Peers, ListHosts: h.Store.Hosts,
		Interval: h.Settings.Heartbeat, Hold: h.Settings.Hold, SendHeartbeat: x.peerClient.Beat,
		FillHeartbeat: x.fillHeartbeat, OnHeartbeat: x.handleHeartbeat,
	}
}

func (x *components) self() member.Member {
	s := x.host.Settings
	return member.Member{
		Name: s.Name, Incarnation: x.host.Incarnation, Domain: s.Domain, Region: s.Region,
		CallerAddress: s.CallerAddress, PeerAddress: s.PeerAddress, OperatorAddress: s.OperatorAddress,
		Leaving: x.leaving.Load(), Starting: !x.steering.ready.Load(),
	}
}

// hosts returns the live hosts, including this one.
func (x *components) hosts() []member.Member {
	return append(x.membership.Alive(), x.self())
}

// announce keeps the host registered in the platform's host list, and marks it
// as leaving during shutdown.
func (x *components) announce(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := x.host.Store.Announce(ctx, x.self()); err != nil && ctx.Err() == nil {
			x.host.Log.Warn("host not announced", "Error", err)
		}
		select {
		case <-ctx.Done():
		case <-x.host.Clock.After(announceInterval):
		}
	}
	return nil
}

func (x *components) fillHeartbeat(h *wire.Heartbeat) {
	h.Loads = x.serviceQueues.Loads()
	x.fillSteering(h)
	x.fillLimits(h)
}

func (x *components) handleHeartbeat(h *wire.Heartbeat, sent time.Time) {
	x.handleSteering(h)
	x.handleLimits(h, sent)
}

func (x *components) handleFetch(f *wire.FetchRequest) *wire.FetchResponse {
	if f.Kind == divisionKind {
		return x.handleDivisionFetch(f.Have)
	}
	return x.steering.relay.Answer(f)
}

func (x *components) entryHosts(account, service string) []string {
	a, o := x.lookup.Find(account, service, x.host.Settings.Region, netip.Addr{})
	if o.Outcome != "" {
		return o.EntryHosts
	}
	return a.EntryHosts
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}
