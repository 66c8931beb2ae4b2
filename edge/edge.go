// Package edge assembles an entry host that reads its configuration and list of backend
// servers from the users' store and connects to every backend server directly.
package edge

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/backendbackoff"
	"celeryreach.example/celeryreach/backendlimit"
	"celeryreach.example/celeryreach/borrower"
	"celeryreach.example/celeryreach/child"
	"celeryreach.example/celeryreach/coldrate"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/counter"
	"celeryreach.example/celeryreach/discovery"
	"celeryreach.example/celeryreach/dispatch"
	"celeryreach.example/celeryreach/forward"
	"celeryreach.example/celeryreach/forwardhosts"
	"celeryreach.example/celeryreach/gateway"
	"celeryreach.example/celeryreach/heartbeatpeers"
	"celeryreach.example/celeryreach/inflight"
	"celeryreach.example/celeryreach/latency"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/membership"
	"celeryreach.example/celeryreach/memorybudget"
	"celeryreach.example/celeryreach/mirror"
	"celeryreach.example/celeryreach/mirrorsync"
	"celeryreach.example/celeryreach/peerclient"
	"celeryreach.example/celeryreach/peerserver"
	"celeryreach.example/celeryreach/permits"
	"celeryreach.example/celeryreach/placement"
	"celeryreach.example/celeryreach/quarantine"
	"celeryreach.example/celeryreach/reachability"
	"celeryreach.example/celeryreach/receive"
	"celeryreach.example/celeryreach/retrybudget"
	"celeryreach.example/celeryreach/routeindex"
	"celeryreach.example/celeryreach/row"
	"celeryreach.example/celeryreach/shutdown"
	"celeryreach.example/celeryreach/stalled"
	"celeryreach.example/celeryreach/storesilence"
	"celeryreach.example/celeryreach/streampool"
	"celeryreach.example/celeryreach/supervisor"
	"celeryreach.example/celeryreach/tokens"
	"celeryreach.example/celeryreach/upstream"
)

const (
	// heartbeatInterval is the time between two heartbeats to a peer. With three peers
	// in its own region and two in each other region, a host takes part in about 14
	// short calls a second, including the calls that its peers start.
	heartbeatInterval = time.Second
	// peerTimeout is the time without a heartbeat after which a host is no longer
	// offered to callers. A host may miss two heartbeats.
	peerTimeout = 3 * time.Second
	// hostListInterval is how often the list of hosts is read again once it is known. The
	// interval can be long because new hosts announce themselves by heartbeats. Calls to
	// the store cost money.
	hostListInterval = 20 * time.Second
	// dialTimeout bounds the opening of a connection to another host.
	dialTimeout = time.Second

	restartBackoff = 200 * time.Millisecond
	maxBackoff     = 5 * time.Second
)

// Edge is one entry host. The exported fields that connect it to the users' platform
// are set before Run.
type Edge struct {
	// Self describes this host.
	Self member.Member
	// Seeds are peer addresses to contact before any other host is known.
	Seeds []string
	// Clock is the host's monotonic clock.
	Clock clockwork.Clock
	// Log receives one line for each event.
	Log *log.Logger
	// Peers accepts the connections of other hosts, at most MaxPeerConnections at a time; zero means
	// no limit.
	Peers              net.Listener
	MaxPeerConnections int
	// Memory bounds what clients and other hosts occupy of the host's memory; nil has no limit.
	Memory *memorybudget.Memorybudget
	// Dial opens a connection to another host; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Config and Backends are the local copies of the store's tables. Edge sets their
	// OnChange callbacks.
	Config, Backends *mirror.Mirror
	// Decode returns the configuration, nil if the rows contain no valid one, and the
	// set of evacuated failure domains.
	Decode func(rows map[string]row.Row) (*config.Config, map[string]bool)
	// DecodeBackends returns the backend servers of a table.
	DecodeBackends func(rows map[string]row.Row) []backend.Backend
	// Announce adds this host to the list of hosts in the store, Withdraw marks it there
	// as having left, and ReadHosts reads the list.
	Announce  func(ctx context.Context, m member.Member) error
	Withdraw  func(ctx context.Context, m member.Member) error
	ReadHosts func(ctx context.Context) ([]member.Member, error)
	// Upstream sends requests to backend servers.
	Upstream *upstream.Upstream
	// LimitValues returns the values of the response header in which a backend server
	// states how many requests a second it accepts from all hosts together.
	LimitValues func(h http.Header) []string
	// SaysLeaving reports whether a backend server states in the header of a response
	// that it leaves and wants no new requests.
	SaysLeaving func(h http.Header) bool
	// BackoffValues returns the values of the response header in which a backend server
	// that refuses a request states for how long it wants no more from this host.
	BackoffValues func(h http.Header) []string
	// Gateway serves requests. Its ReportedLoad must be set before Run; Edge sets
	// its other fields.
	Gateway *gateway.Gateway
	// Random returns a random number in [0, 1).
	Random func() float64
	// RecoveryTime is the time after the end of an outage within which a host must
	// again have the current configuration and list of backend servers.
	RecoveryTime time.Duration
	// ExpiryTime is the shortest outage of the store in which the entry of a backend server
	// that lives can expire. If it is zero, each outage that hosts notice counts.
	ExpiryTime time.Duration
	// LapseTime is how long after the last report of a backend server the store removes its
	// entry.
	LapseTime time.Duration
	// EvacuationTime is how long after its evacuation a failure domain may still
	// receive requests.
	EvacuationTime time.Duration
	// ColdOverage and ColdSlack define the upper bound on the request rate to a cold
	// backend server.
	ColdOverage, ColdSlack float64
	// LimitOverage, LimitSlack and LimitWindow define the upper bound on the requests
	// to a backend server that states a limit.
	LimitOverage, LimitSlack float64
	LimitWindow              time.Duration
	// StopTime is how long after it was told to stop a host ends all waits for requests.
	StopTime time.Duration
	// RetryRatio and RetrySlack bound retries over all hosts: RetryRatio for each first
	// try, plus RetrySlack at any time.
	RetryRatio, RetrySlack float64

	index        atomic.Pointer[routeindex.Routeindex]
	shutdown     shutdown.Shutdown
	announced    atomic.Bool // the store's list has this process
	membership   *membership.Membership
	client       *peerclient.Peerclient
	tokens       *tokens.Tokens
	placement    *placement.Placement
	limits       *backendlimit.Backendlimit
	backoffs     *backendbackoff.Backendbackoff
	permits      *permits.Permits
	storeSilence *storesilence.Storesilence
	permitClient *peerclient.Peerclient // separate connections for permits, so that permits do not delay heartbeats
	discovery    *discovery.Discovery
	reachability *reachability.Reachability
	forwardHosts *forwardhosts.Forwardhosts
	streams      *streampool.Streampool
	forward      *forward.Forward
	receive      *receive.Receive
	// forwardedInFlight counts the requests that other hosts forwarded to this one.
	forwardedInFlight inflight.Inflight
	borrower          *borrower.Borrower
	mirrorSync        *mirrorsync.Mirrorsync
	gossip            []child.Child // tell other hosts of new versions, by table
	retryBudget       *retrybudget.Retrybudget
	quarantine        *quarantine.Quarantine
}

// Run runs the host until ctx ends. The host then says at once that it leaves. The children
// in serving accept requests from callers and are stopped first.
func (e *Edge) Run(ctx context.Context, serving ...child.Child) error {
	e.assemble()
	defer context.AfterFunc(ctx, e.startLeaving)()
	s := &peerserver.Peerserver{
		Listener: e.Peers, Clock: e.Clock, MaxConnections: e.MaxPeerConnections, Memory: e.Memory, OnHeartbeat: e.membership.Receive, OnFetch: e.mirrorSync.Answer, OnBorrow: e.lendTokens, OnLend: e.receiveTokens,
		OnNotify: e.answerNotice, OnForward: e.receive.Stream, OnPermit: e.permits.HandleRequest,
	}
	defer e.client.Close()
	defer e.permitClient.Close()
	defer e.Upstream.Close()
	return e.supervise(
		e.branch("peers",
			child.Child{Name: "peerserver", Run: s.Run},
			child.Child{Name: "membership", Run: e.membership.Run},
			child.Child{Name: "tokens", Run: e.tokens.Run},
			child.Child{Name: "borrower", Run: e.borrower.Run},
			child.Child{Name: "copier", Run: e.mirrorSync.Run},
			child.Child{Name: "reachability", Run: e.reachability.Run},
			child.Child{Name: "streams", Run: e.streams.Run},
			child.Child{Name: "quarantine", Run: e.quarantine.Run},
		),
		e.branch("store", append(e.gossip,
			child.Child{Name: "announce", Run: e.announce},
			child.Child{Name: "config", Run: e.Config.Run},
			child.Child{Name: "backends", Run: e.Backends.Run},
			child.Child{Name: "discovery", Run: e.discovery.Run},
			child.Child{Name: "silence", Run: e.storeSilence.Run},
		)...),
		// Callers of other hosts are served until this host's own callers are.
		e.branch("serving", append([]child.Child{{Name: "forwarded", Run: e.drainForwarded}}, serving...)...),
	).Run(ctx)
}

// startLeaving starts the shutdown of this host: other hosts stop offering it to callers
// and forwarding requests to it.
func (e *Edge) startLeaving() {
	e.shutdown.Begin(e.StopTime)
	e.membership.SendSoon()
	e.Log.Info("host leaves", "Host", e.Self.Name, "Forwarded", e.forwardedInFlight.Count(), "StopTime", e.StopTime)
}

// IsLeaving reports whether this host was told to stop.
func (e *Edge) IsLeaving() bool {
	return e.shutdown.HasBegun()
}

// StopBy returns the time by which all waits of the shutdown end. It waits until the host
// was told to stop.
func (e *Edge) StopBy() time.Time {
	return e.shutdown.By()
}

// IsReady reports whether this host can serve callers.
func (e *Edge) IsReady() bool {
	return e.index.Load() != nil && e.membership.HasList() && !e.IsLeaving()
}

// Index returns the configuration in force, nil before the first one.
func (e *Edge) Index() *routeindex.Routeindex {
	return e.index.Load()
}

func (e *Edge) assemble() {
	e.shutdown.Clock = e.Clock
	e.client = &peerclient.Peerclient{Dial: e.Dial}
	if e.Dial == nil {
		e.client.Dial = dial
	}
	e.membership = &membership.Membership{
		Clock: e.Clock, Log: e.Log, Self: e.self, Seeds: e.Seeds, ListHosts: e.readHosts, ListInterval: hostListInterval,
		SelectPeers: heartbeatpeers.Select, Interval: heartbeatInterval, Hold: peerTimeout, SendHeartbeat: e.client.Beat, FillHeartbeat: e.composeHeartbeat, OnHeartbeat: e.receiveHeartbeat,
	}
	e.borrower = borrower.New()
	e.borrower.Clock, e.borrower.Self, e.borrower.Hosts = e.Clock, e.self, e.membership.Alive
	e.borrower.Log, e.borrower.Borrow, e.borrower.Deliver = e.Log, e.client.Borrow, e.client.Lend
	e.tokens = &tokens.Tokens{Clock: e.Clock, Self: e.Self.Name, Hosts: e.knownHostNames, OnHosts: e.logDivision, StartBorrowing: e.borrower.Request, SendLoan: e.borrower.Lend}
	e.borrower.OnReceived, e.borrower.RequestDone = e.tokens.Receive, e.tokens.BorrowingDone
	e.retryBudget = e.newRetryBudget()
	e.setUpBackendLimits()
	e.setUpBackoffs()
	e.setUpReachability()
	e.setUpForwarding()
	e.setUpQuarantine()
	e.Upstream.OnResponse = e.observeResponse
	e.setUpPermits()
	e.placement = &placement.Placement{
		Clock: e.Clock, Log: e.Log, Region: e.Self.Region, RemoteWeight: remoteWeight, ColdCapacity: e.coldRate, Limit: e.limits, Backoff: e.backoffs,
		Reachability: e.reachability, ReachedByOthers: e.forwardHosts.Reach,
		ColdRate: &coldrate.Coldrate{Self: e.Self.Name, Hosts: e.knownHostNames, Overage: e.ColdOverage, Slack: e.ColdSlack},
	}
	e.discovery = &discovery.Discovery{
		Clock: e.Clock, Log: e.Log, WarmUp: e.warmUp, UncertainUntil: e.Backends.IncompleteUntil, OnChange: e.setBackends, Notify: e.membership.SendSoon,
		LapseTime: e.LapseTime, SteadySince: e.Backends.SteadySince,
	}
	e.mirrorSync = mirrorsync.New()
	e.mirrorSync.Clock, e.mirrorSync.Log, e.mirrorSync.Random, e.mirrorSync.Fetch = e.Clock, e.Log, e.Random, e.fetchCopy
	e.mirrorSync.AskPeers, e.mirrorSync.Mirrors = e.membership.SendSoon, []*mirror.Mirror{e.Config, e.Backends}
	e.watchStore()
	e.Config.OnChange = e.applyConfig
	e.Backends.OnChange = func(m map[string]row.Row) { e.discovery.SetBackends(e.DecodeBackends(m)) }
	g := e.Gateway
	g.Clock, g.Log, g.Index, g.Tokens, g.Placement = e.Clock, e.Log, e.index.Load, e.tokens, e.placement
	g.StoreAge = func() (time.Duration, bool) { return storeAge(e.Config) }
	g.RequestPermit, g.Random, g.IsLeaving = e.permit, e.Random, e.IsLeaving
	g.MayStart = e.shutdown.Allows
	g.Memory, g.Uploads = e.Memory, &stalled.Stalled{Clock: e.Clock}
	g.Dispatch = e.dispatch().Serve
	g.Latency = &latency.Latency{Name: "Latency"}
	g.Latency.Publish()
	e.publishMetrics()
	g.OnOutcome = (&counter.Counter{Prefix: "Requests."}).Add
}

func (e *Edge) dispatch() *dispatch.Dispatch {
	return &dispatch.Dispatch{
		Clock: e.Clock, AcquireSlot: e.Gateway.AcquireSlot, ReuseForNonIdempotent: true, IsKeyValid: e.Gateway.IsKeyValid, ConfirmToken: tokenAlwaysValid,
		Upstream: e.Upstream, Forward: e.forwardRequest, Hedge: newHedge(), ResponseCopier: newResponseCopier(e.Clock, e.Memory),
		Budget: e.retryBudget, Quarantine: e.quarantine, MayStart: e.shutdown.Allows,
	}
}

func (e *Edge) supervise(c ...child.Child) *supervisor.Supervisor {
	return &supervisor.Supervisor{Clock: e.Clock, Log: e.Log, Backoff: restartBackoff, MaxBackoff: maxBackoff, Children: c}
}

func (e *Edge) branch(name string, c ...child.Child) child.Child {
	return child.Child{Name: name, Run: e.supervise(c...).Run}
}
