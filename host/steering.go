package host

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"celeryreach.example/celeryreach/accepted"
	"celeryreach.example/celeryreach/blockfollower"
	"celeryreach.example/celeryreach/change"
	"celeryreach.example/celeryreach/failover"
	"celeryreach.example/celeryreach/follower"
	"celeryreach.example/celeryreach/freshness"
	"celeryreach.example/celeryreach/gauge"
	"celeryreach.example/celeryreach/inforce"
	"celeryreach.example/celeryreach/lease"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/meter"
	"celeryreach.example/celeryreach/observation"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/planfollower"
	"celeryreach.example/celeryreach/planner"
	"celeryreach.example/celeryreach/refusal"
	"celeryreach.example/celeryreach/relay"
	"celeryreach.example/celeryreach/replica"
	"celeryreach.example/celeryreach/roster"
	"celeryreach.example/celeryreach/wire"
)

const (
	pollers      = 2 // hosts of a failure domain that read the platform often
	pollOften    = time.Second
	pollRarely   = 30 * time.Second
	relayFanout  = 16
	relayTimeout = time.Second
	relayRetry   = time.Second
	rememberFor  = 10 * time.Minute
	readyPoll    = 50 * time.Millisecond
	readyHolds   = 3
	lookupPath   = "/lookup"
	// aloneAfter is the silence from outside after which a starting host no
	// longer waits for its part of the limits. While it is cut off it gets
	// none, and it serves what needs none.
	aloneAfter = 800 * time.Millisecond
	// chunksTimeout bounds the fetching of all chunks by a host that starts.
	chunksTimeout = time.Minute
)

// steering holds the parts that follow the configuration and the plan.
type steering struct {
	relay     *relay.Relay
	freshness *freshness.Freshness
	current   atomic.Bool // has the newest versions: look-ups may be answered
	ready     atomic.Bool // has its part of the limits as well

	mu     sync.Mutex
	known  map[string]knownHost
	newest map[string]uint64 // by kind

	plans    *planfollower.Planfollower
	blocks   *blockfollower.Blockfollower
	planner  *planner.Planner
	lease    *lease.Lease
	meter    *meter.Meter
	gauge    *gauge.Gauge
	failover *failover.Failover
	started  time.Time
	observed atomic.Pointer[[]observation.Observation]
	roster   atomic.Pointer[roster.Roster]
	lost     atomic.Pointer[map[string]bool]
}

type knownHost struct {
	member member.Member
	heard  time.Time
}

func (x *parts) newSteering() *steering {
	h := x.host
	s := &steering{
		freshness: &freshness.Freshness{Clock: h.Clock},
		relay: &relay.Relay{
			Clock: h.Clock, Log: h.Log, Self: x.self, Peers: func() []member.Member { return x.membership.Alive() },
			Fanout: relayFanout, Timeout: relayTimeout, Retry: relayRetry,
			Fetch: func(ctx context.Context, a string, f *wire.FetchRequest) (*wire.FetchResponse, error) {
				return x.peerclient.Fetch(ctx, a, f)
			},
			Notify: func(ctx context.Context, a string, n *wire.Notice) (*wire.Notice, error) {
				return x.peerclient.Notify(ctx, a, n)
			},
		},
		known: make(map[string]knownHost), newest: make(map[string]uint64), meter: new(meter.Meter), started: h.Clock.Now(),
		gauge: &gauge.Gauge{Clock: h.Clock, Window: gaugeWindow, Hold: lostHolds * h.Settings.Hold},
	}
	s.plans = &planfollower.Planfollower{
		Clock: h.Clock, Log: h.Log, Platform: h.Platform, Poll: x.pollEvery,
		Changed: func() {
			s.relay.Wake()
			s.failover.Planned()
		},
	}
	s.blocks = &blockfollower.Blockfollower{
		Clock: h.Clock, Log: h.Log, Platform: h.Platform, Poll: x.pollEvery, Changed: s.relay.Wake, Timeout: chunksTimeout,
		Fetch: func(ctx context.Context, hash string) ([]byte, error) {
			return s.relay.Ask(ctx, s.blocks.Replica(), blockfollower.ChunkKind, hash)
		},
	}
	s.relay.Object = func(kind, hash string) []byte {
		if kind != blockfollower.ChunkKind {
			return nil
		}
		return s.blocks.Chunk(hash)
	}
	s.failover = &failover.Failover{Clock: h.Clock, Preset: x.preset, Share: x.share, Room: x.room}
	s.lease = x.newLease()
	s.planner = x.newPlanner(s)
	return s
}

func (x *parts) newFollower() *follower.Follower {
	h := x.host
	return &follower.Follower{
		Clock: h.Clock, Log: h.Log, Platform: h.Platform, Poll: x.pollEvery, Changed: x.steering.relay.Wake,
		Polled: x.steering.freshness.Seen,
	}
}

func (x *parts) newChange() *change.Change {
	return &change.Change{
		Platform: x.host.Platform, Clock: x.host.Clock,
		// The accepting host does not wait for its next read: a withdrawal is
		// on its way to all hosts as soon as it is accepted.
		Accepted: func(a accepted.Accepted, b []byte) {
			if err := x.follower.Offer(a.Version, a.Hash, b); err != nil {
				x.host.Log.Error("accepted configuration not applied", "Version", a.Version, "Error", err)
			}
		},
	}
}

func (x *parts) replicas() []*replica.Replica {
	return []*replica.Replica{x.follower.Replica(), x.steering.plans.Replica(), x.steering.blocks.Replica()}
}

// pollEvery returns the time to the next read of the platform. The first two
// living hosts of a failure domain by name read often and the relay does the
// rest: 27 failure domains cost 54 reads a second, however many hosts they
// have. The others read rarely, in case those two are cut from the platform
// alone.
func (x *parts) pollEvery() time.Duration {
	if x.reads() || x.follower.Snapshot() == nil {
		return pollOften
	}
	return pollRarely
}

// reads reports whether this host is one of those of its failure domain that
// read the platform often.
func (x *parts) reads() bool {
	_, i := x.siblings()
	return i < pollers
}

// stale reports whether keys may have been withdrawn unheard for too long.
// With one failure domain every change is accepted by a host of it, so nothing
// can be missed.
func (x *parts) stale(nonIdempotent bool) bool {
	s := x.follower.Snapshot()
	if s == nil || len(s.Config.Domains) < 2 {
		return false
	}
	return x.steering.freshness.Stale(s.Config.KeyStaleness, nonIdempotent)
}

func (x *parts) composeSteering(h *wire.Heartbeat) {
	for _, r := range x.steering.relay.Replicas {
		v := r.Digest()
		v.Hash = accepted.Short(v.Hash)
		h.Versions = append(h.Versions, v)
	}
	h.KeyAgeNanoseconds = x.steering.freshness.Own()
	x.steering.meter.Fill(h)
	x.steering.failover.Each(func(service, region string, points int) {
		h.Evacuations = append(h.Evacuations, &wire.Evacuation{Service: service, Region: region, PartsPerMillion: uint32(points)})
	})
}

func (x *parts) heardSteering(h *wire.Heartbeat) {
	s := x.steering
	if h.From.Domain == x.host.Settings.Domain {
		s.freshness.Heard(h.KeyAgeNanoseconds)
	} else {
		s.freshness.Seen()
	}
	s.relay.Heard(h.From.Name, h.Versions)
	s.note(h, x.host.Clock.Now())
	s.gauge.Note(h)
	if !s.ready.Load() {
		for _, e := range h.Evacuations {
			s.failover.Adopt(e.Service, e.Region, int(e.PartsPerMillion))
		}
	}
}

// note remembers the peer and the highest version of the configuration that
// anybody told of.
func (s *steering) note(h *wire.Heartbeat, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known[h.From.Name] = knownHost{heard: now, member: member.Member{
		Name: h.From.Name, Domain: h.From.Domain, Region: h.From.Region, CallerAddress: h.From.CallerAddress,
	}}
	for _, v := range h.Versions {
		s.newest[v.Kind] = max(s.newest[v.Kind], v.Version)
	}
}

// inForce sums up what heartbeats tell of a version.
func (x *parts) inForce(version uint64) inforce.Inforce {
	n := x.host.Clock.Now()
	var k []member.Member
	x.steering.mu.Lock()
	for a, v := range x.steering.known {
		if n.Sub(v.heard) > rememberFor {
			delete(x.steering.known, a)
			continue
		}
		k = append(k, v.member)
	}
	x.steering.mu.Unlock()
	v, _, _ := x.follower.Content()
	var d []string
	if s := x.follower.Snapshot(); s != nil {
		for _, o := range s.Config.Domains {
			d = append(d, o.Name)
		}
	}
	return inforce.Of(version, v, x.self(), k, d, x.membership.Last)
}

// becomeReady lets callers in once the host has the highest version that it
// can learn of: the platform's, or, while the platform cannot be reached, the
// highest that peers tell of within Hold. A host that began with the first
// version it met could take a key that was withdrawn long ago; one without the
// plan would send callers home whom the plan has moved, over any cap.
func (x *parts) becomeReady(ctx context.Context) error {
	t := x.host.Clock.Now()
	for !x.steering.ready.Load() {
		w := x.host.Clock.Since(t)
		if x.isCurrent(w) {
			x.steering.current.Store(true)
		}
		if x.steering.current.Load() && (x.granted() || x.cutOff() || w >= readyHolds*x.host.Settings.Hold) {
			x.steering.ready.Store(true)
			// Look-ups name this host from now on, not from the next look.
			x.steering.roster.Store(x.newRoster())
			x.host.Log.Info("host is ready", "Version", x.follower.Snapshot().Config.Version)
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-x.host.Clock.After(readyPoll):
		}
	}
	return nil
}

func (x *parts) isCurrent(waited time.Duration) bool {
	if x.follower.Snapshot() == nil {
		return false
	}
	p := true
	for _, r := range x.steering.relay.Replicas {
		x.steering.mu.Lock()
		n := x.steering.newest[r.Kind]
		x.steering.mu.Unlock()
		if r.Digest().Version < n {
			// A peer can tell of a version and be cut off from being asked for it.
			return waited >= readyHolds*x.host.Settings.Hold
		}
		p = p && r.Read()
	}
	if !x.limits.holding.Valid() && waited < readyHolds*x.host.Settings.Hold {
		// It would refuse callers who are inside their rate.
		return false
	}
	return p || waited >= x.host.Settings.Hold
}

// granted reports whether this host has a part of the accounts' rates. Before
// that it would refuse callers as over their rate who are not.
func (x *parts) granted() bool {
	s := x.follower.Snapshot()
	if s == nil || len(s.Config.Accounts) == 0 {
		return s != nil
	}
	return x.grant(s.Config.Accounts[0].Name).Part(x.host.Clock.Now()) > 0
}

// cutOff reports whether nothing from outside the failure domain was heard for
// a moment.
func (x *parts) cutOff() bool {
	return time.Duration(x.steering.freshness.Age()) > aloneAfter
}

// gate refuses callers until the host is ready, and names hosts that may be.
func (x *parts) gate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !x.steering.ready.Load() && (r.URL.Path != lookupPath || !x.steering.current.Load()) {
			refusal.Write(w, outcome.Outcome{
				Outcome: outcome.NoCapacity, Ran: outcome.RanNo, RetryAfter: time.Second, EntryHosts: x.entryHosts("", ""),
				Message: "this host has just started and has not got what it needs yet",
			})
			return
		}
		next.ServeHTTP(w, r)
	})
}
