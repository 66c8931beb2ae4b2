package host

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"celeryreach.example/celeryreach/acceptedversion"
	"celeryreach.example/celeryreach/blockfollower"
	"celeryreach.example/celeryreach/configcommit"
	"celeryreach.example/celeryreach/configfollower"
	"celeryreach.example/celeryreach/errorresponse"
	"celeryreach.example/celeryreach/failover"
	"celeryreach.example/celeryreach/freshness"
	"celeryreach.example/celeryreach/lease"
	"celeryreach.example/celeryreach/loadstats"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/meter"
	"celeryreach.example/celeryreach/observation"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/planfollower"
	"celeryreach.example/celeryreach/planner"
	"celeryreach.example/celeryreach/relay"
	"celeryreach.example/celeryreach/replica"
	"celeryreach.example/celeryreach/rollout"
	"celeryreach.example/celeryreach/roster"
	"celeryreach.example/celeryreach/wire"
)

const (
	readersPerDomain     = 2 // hosts of a failure domain that poll the platform frequently
	frequentPollInterval = time.Second
	rarePollInterval     = 30 * time.Second
	relayFanout          = 16
	relayTimeout         = time.Second
	relayRetry           = time.Second
	knownHostRetention   = 10 * time.Minute
	readyPollInterval    = 50 * time.Millisecond
	maxReadyWaitHolds    = 3
	lookupPath           = "/lookup"
	// isolatedAfter is how long a starting host receives nothing from other
	// failure domains before it stops waiting for its share of the limits. A
	// host that is isolated from other failure domains cannot obtain a share,
	// and serves the requests that need no share.
	isolatedAfter = 800 * time.Millisecond
	// chunksTimeout bounds the time in which a starting host fetches all chunks
	// of client blocks.
	chunksTimeout = time.Minute
)

// steering holds the components that follow the configuration and the plan.
type steering struct {
	relay     *relay.Relay
	freshness *freshness.Freshness
	current   atomic.Bool // the host has the newest versions, so it answers lookups
	ready     atomic.Bool // the host also has its share of the limits, so it serves requests

	mu         sync.Mutex
	knownHosts map[string]knownHost
	newest     map[string]uint64 // highest version that any peer reported, by kind of replica

	plans            *planfollower.Planfollower
	blocks           *blockfollower.Blockfollower
	planner          *planner.Planner
	lease            *lease.Lease
	meter            *meter.Meter
	loadStats        *loadstats.Loadstats
	failover         *failover.Failover
	started          time.Time
	lastObservations atomic.Pointer[[]observation.Observation]
	roster           atomic.Pointer[roster.Roster]
	lostRegions      atomic.Pointer[map[string]bool]
}

type knownHost struct {
	member        member.Member
	lastHeartbeat time.Time
}

func (x *components) newSteering() *steering {
	h := x.host
	s := &steering{
		freshness: &freshness.Freshness{Clock: h.Clock},
		relay: &relay.Relay{
			Clock: h.Clock, Log: h.Log, Self: x.self, Peers: func() []member.Member { return x.membership.Alive() },
			Fanout: relayFanout, Timeout: relayTimeout, RetryDelay: relayRetry,
			Fetch: func(ctx context.Context, a string, f *wire.FetchRequest) (*wire.FetchResponse, error) {
				return x.peerClient.Fetch(ctx, a, f)
			},
			Notify: func(ctx context.Context, a string, n *wire.Notice) (*wire.Notice, error) {
				return x.peerClient.Notify(ctx, a, n)
			},
		},
		knownHosts: make(map[string]knownHost), newest: make(map[string]uint64), meter: new(meter.Meter), started: h.Clock.Now(),
		loadStats: &loadstats.Loadstats{Clock: h.Clock, Window: loadWindow, Timeout: lostAfterHolds * h.Settings.Hold},
	}
	s.plans = &planfollower.Planfollower{
		Clock: h.Clock, Log: h.Log, Store: h.Store, PollInterval: x.pollInterval,
		OnChange: func() {
			s.relay.Wake()
			s.failover.RecordPlan()
		},
	}
	s.blocks = &blockfollower.Blockfollower{
		Clock: h.Clock, Log: h.Log, Store: h.Store, PollInterval: x.pollInterval, OnChange: s.relay.Wake, Timeout: chunksTimeout,
		Fetch: func(ctx context.Context, hash string) ([]byte, error) {
			return s.relay.FetchPart(ctx, s.blocks.Replica(), blockfollower.ChunkKind, hash)
		},
	}
	s.relay.PartByHash = func(kind, hash string) []byte {
		if kind != blockfollower.ChunkKind {
			return nil
		}
		return s.blocks.Chunk(hash)
	}
	s.failover = &failover.Failover{Clock: h.Clock, Preset: x.preset, Share: x.regionShare, FreeCapacity: x.spareCapacity}
	s.lease = x.newLease()
	s.planner = x.newPlanner(s)
	return s
}

func (x *components) newConfigFollower() *configfollower.Configfollower {
	h := x.host
	return &configfollower.Configfollower{
		Clock: h.Clock, Log: h.Log, Store: h.Store, PollInterval: x.pollInterval, OnChange: x.steering.relay.Wake,
		OnPoll: x.steering.freshness.RecordContact,
	}
}

func (x *components) newConfigCommit() *configcommit.Configcommit {
	return &configcommit.Configcommit{
		Store: x.host.Store, Clock: x.host.Clock,
		// The accepting host applies the change without waiting for its next
		// poll, so that the withdrawal of a key is distributed to all hosts as
		// soon as it is accepted.
		OnAccepted: func(a acceptedversion.Acceptedversion, b []byte) {
			if err := x.configFollower.Offer(a.Version, a.Hash, b); err != nil {
				x.host.Log.Error("cannot apply accepted configuration", "Version", a.Version, "Error", err)
			}
		},
	}
}

func (x *components) replicas() []*replica.Replica {
	return []*replica.Replica{x.configFollower.Replica(), x.steering.plans.Replica(), x.steering.blocks.Replica()}
}

// pollInterval returns the time until the next read of the platform. The first
// two live hosts of a failure domain in name order poll frequently, and the
// relay distributes the contents that they read: 27 failure domains cause 54
// reads per second, regardless of their number of hosts. The other hosts poll
// rarely, so that the failure domain still receives new contents if only its two
// frequent readers are disconnected from the platform.
func (x *components) pollInterval() time.Duration {
	if x.isFrequentReader() || x.configFollower.Snapshot() == nil {
		return frequentPollInterval
	}
	return rarePollInterval
}

// isFrequentReader reports whether this host is one of the hosts of its failure
// domain that poll the platform frequently.
func (x *components) isFrequentReader() bool {
	_, i := x.siblings()
	return i < readersPerDomain
}

// areKeysStale reports whether withdrawals of keys may have been missed for
// longer than the configured staleness. With one failure domain no withdrawal
// can be missed, because every change is accepted by a host of that domain.
func (x *components) areKeysStale(nonIdempotent bool) bool {
	s := x.configFollower.Snapshot()
	if s == nil || len(s.Config.Domains) < 2 {
		return false
	}
	return x.steering.freshness.Stale(s.Config.KeyStaleness, nonIdempotent)
}

func (x *components) fillSteering(h *wire.Heartbeat) {
	for _, r := range x.steering.relay.Replicas {
		v := r.CurrentVersion()
		v.Hash = acceptedversion.Short(v.Hash)
		h.Versions = append(h.Versions, v)
	}
	h.KeyAgeNanoseconds = x.steering.freshness.OwnAge()
	x.steering.meter.AddTo(h)
	x.steering.failover.ForEachMoved(func(service, region string, points int) {
		h.Evacuations = append(h.Evacuations, &wire.Evacuation{Service: service, Region: region, PartsPerMillion: uint32(points)})
	})
}

func (x *components) handleSteering(h *wire.Heartbeat) {
	s := x.steering
	if h.From.Domain == x.host.Settings.Domain {
		s.freshness.RecordRemoteAge(h.KeyAgeNanoseconds)
	} else {
		s.freshness.RecordContact()
	}
	s.relay.RecordVersions(h.From.Name, h.Versions)
	s.recordHeartbeat(h, x.host.Clock.Now())
	s.loadStats.Record(h)
	if !s.ready.Load() {
		for _, e := range h.Evacuations {
			s.failover.RaisePoints(e.Service, e.Region, int(e.PartsPerMillion))
		}
	}
}

// recordHeartbeat records the sender of a heartbeat and, for each kind of
// replica, the highest version that any peer reported.
func (s *steering) recordHeartbeat(h *wire.Heartbeat, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.knownHosts[h.From.Name] = knownHost{lastHeartbeat: now, member: member.Member{
		Name: h.From.Name, Domain: h.From.Domain, Region: h.From.Region, CallerAddress: h.From.CallerAddress,
	}}
	for _, v := range h.Versions {
		s.newest[v.Kind] = max(s.newest[v.Kind], v.Version)
	}
}

// rollout returns on which hosts a configuration version is in force, as
// reported by heartbeats.
func (x *components) rollout(version uint64) rollout.Rollout {
	n := x.host.Clock.Now()
	var k []member.Member
	x.steering.mu.Lock()
	for a, v := range x.steering.knownHosts {
		if n.Sub(v.lastHeartbeat) > knownHostRetention {
			delete(x.steering.knownHosts, a)
			continue
		}
		k = append(k, v.member)
	}
	x.steering.mu.Unlock()
	v, _, _ := x.configFollower.Content()
	var d []string
	if s := x.configFollower.Snapshot(); s != nil {
		for _, o := range s.Config.Domains {
			d = append(d, o.Name)
		}
	}
	return rollout.Compute(version, v, x.self(), k, d, x.membership.LastHeartbeat)
}

// waitUntilReady admits callers once the host has the newest versions of the
// distributed contents, such as the configuration and the plan. These are the
// platform's versions or, while the platform is unreachable, the highest
// versions that peers report within Hold. With an older configuration, the host
// could accept a key that was withdrawn long ago. Without the newest plan, it
// would steer all moved callers back to their former region at once instead of
// in steps of limited size.
func (x *components) waitUntilReady(ctx context.Context) error {
	t := x.host.Clock.Now()
	for !x.steering.ready.Load() {
		w := x.host.Clock.Since(t)
		if x.hasNewestVersions(w) {
			x.steering.current.Store(true)
		}
		if x.steering.current.Load() && (x.hasRateShare() || x.isIsolated() || w >= maxReadyWaitHolds*x.host.Settings.Hold) {
			x.steering.ready.Store(true)
			// Include this host in lookup answers now, not at the next run of
			// updateSteering.
			x.steering.roster.Store(x.newRoster())
			x.host.Log.Info("host is ready", "Version", x.configFollower.Snapshot().Config.Version)
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-x.host.Clock.After(readyPollInterval):
		}
	}
	return nil
}

// hasNewestVersions reports whether the host has the newest versions that the
// platform or a peer has reported to it, or has waited for them long enough.
func (x *components) hasNewestVersions(waited time.Duration) bool {
	if x.configFollower.Snapshot() == nil {
		return false
	}
	p := true
	for _, r := range x.steering.relay.Replicas {
		x.steering.mu.Lock()
		n := x.steering.newest[r.Kind]
		x.steering.mu.Unlock()
		if r.CurrentVersion().Version < n {
			// The peer that reported the newest version may be unreachable when
			// this host fetches the version, so the wait is bounded.
			return waited >= maxReadyWaitHolds*x.host.Settings.Hold
		}
		p = p && r.HasPolled()
	}
	if !x.limits.entitlement.Valid() && waited < maxReadyWaitHolds*x.host.Settings.Hold {
		// Without a valid entitlement, the host would refuse callers that are
		// within their rate.
		return false
	}
	return p || waited >= x.host.Settings.Hold
}

// hasRateShare reports whether this host has a share of the accounts' rates.
// Without a share, it would refuse callers that are within their rate.
func (x *components) hasRateShare() bool {
	s := x.configFollower.Snapshot()
	if s == nil || len(s.Config.Accounts) == 0 {
		return s != nil
	}
	return x.grant(s.Config.Accounts[0].Name).Fraction(x.host.Clock.Now()) > 0
}

// isIsolated reports whether nothing was received from other failure domains
// for isolatedAfter.
func (x *components) isIsolated() bool {
	return time.Duration(x.steering.freshness.Age()) > isolatedAfter
}

// requireReady refuses requests until the host is ready, and names other entry
// hosts in the refusal. Lookups are already answered when the host has the
// newest versions.
func (x *components) requireReady(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !x.steering.ready.Load() && (r.URL.Path != lookupPath || !x.steering.current.Load()) {
			errorresponse.Write(w, outcome.Outcome{
				Outcome: outcome.NoCapacity, Ran: outcome.RanNo, RetryAfter: time.Second, EntryHosts: x.entryHosts("", ""),
				Message: "this host is starting and is not ready to serve requests yet",
			})
			return
		}
		next.ServeHTTP(w, r)
	})
}
