package host

import (
	"context"
	"math"
	"net/http"
	"net/netip"
	"sort"
	"strings"
	"time"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/child"
	"celeryreach.example/celeryreach/divisionwriter"
	"celeryreach.example/celeryreach/forward"
	"celeryreach.example/celeryreach/growthlimit"
	"celeryreach.example/celeryreach/healthcheck"
	"celeryreach.example/celeryreach/link"
	"celeryreach.example/celeryreach/linklimit"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/receive"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/servicequeues"
	"celeryreach.example/celeryreach/slotloan"
	"celeryreach.example/celeryreach/streampool"
	"celeryreach.example/celeryreach/wire"
)

const (
	probeInterval = 2 * time.Second
	probeTimeout  = time.Second

	// streamIdleTimeout is shorter than the time after which firewalls drop the
	// state of an unused connection.
	streamIdleTimeout = 5 * time.Second
	streamsPerAddress = 8
	maxDials          = 32
	maxForwards       = 1000

	// coldRequestTime is the assumed duration of a request with cold caches.
	coldRequestTime = 100 * time.Millisecond
)

// localDomain holds the components that manage the backend servers of the
// host's failure domain and forward requests between failure domains.
type localDomain struct {
	loan        *slotloan.Slotloan
	checks      *healthcheck.Healthcheck
	links       *linklimit.Linklimit
	growthLimit *growthlimit.Growthlimit
	streams     *streampool.Streampool
}

// newLocalDomain creates the components of localDomain.
func (x *components) newLocalDomain() {
	x.localDomain = new(localDomain)
	x.newServiceQueues()
	x.newForwarding()
}

// children returns the supervised tasks of the local failure domain.
func (d *localDomain) children(x *components) []child.Child {
	return []child.Child{
		{Name: "lanes", Run: x.serviceQueues.Run},
		{Name: "healthcheck", Run: d.checks.Run},
		{Name: "slotloan", Run: d.loan.Run},
		{Name: "streams", Run: d.streams.Run},
	}
}

func (x *components) newServiceQueues() {
	h := x.host
	d := x.localDomain
	d.loan = &slotloan.Slotloan{
		Clock: h.Clock, Host: h.Settings.Name, MaxLoan: h.Settings.Hold * 9 / 10,
		Lenders: x.slotLenders, Send: x.peerClient.Borrow,
	}
	x.serviceQueues = &servicequeues.Servicequeues{
		Clock: h.Clock, Domains: x.slotDomains, Snapshot: x.configFollower.Snapshot,
		Slots: x.ownedSlots, AcquireBorrowed: d.loan.Acquire,
		OnDrained: x.recordDrain,
	}
	d.loan.BorrowedSlot = x.serviceQueues.BorrowedSlot
	d.loan.OnBorrowed = x.serviceQueues.GrantFree
	d.loan.Lend = x.lendSlot
	d.checks = &healthcheck.Healthcheck{
		Clock: h.Clock, Interval: probeInterval, Timeout: probeTimeout, Backends: x.serviceQueues.ProbeTargets, Report: x.serviceQueues.HandleProbe,
	}
}

// lendSlot lends a free slot to another host of the failure domain. A host that
// is shutting down lends none, because its slots are reassigned to other hosts
// before such a loan would end.
func (x *components) lendSlot(service string, d time.Duration) (backend string, back func(), ok bool) {
	if x.leaving.Load() {
		return "", nil, false
	}
	return x.serviceQueues.Lend(service, d)
}

// newForwarding creates the components that forward requests between failure
// domains.
func (x *components) newForwarding() {
	h := x.host
	d := x.localDomain
	d.links = &linklimit.Linklimit{Clock: h.Clock, Links: x.currentLinks, Fraction: x.limits.entitlement.Fraction}
	d.streams = &streampool.Streampool{
		Clock: h.Clock, Dial: h.dialPeer, Idle: streamIdleTimeout, PerAddress: streamsPerAddress, MaxDials: maxDials,
	}
	x.forward = &forward.Forward{
		Clock: h.Clock, Region: h.Settings.Region, Targets: func(r *request.Request) []member.Member { return x.forwardTargets(r.Service.Name) }, Open: d.streams.Open, Limit: maxForwards, MayStart: x.requests.shutdown.Allows,
		Version: func() uint64 { return x.configFollower.Snapshot().Config.Version },
		ReserveLink: func(region string, n int64) (func(int64), time.Duration, bool) {
			return d.links.Take(h.Settings.Region, region, n)
		},
	}
	d.growthLimit = &growthlimit.Growthlimit{
		Clock:        h.Clock,
		Cap:          func() float64 { return x.configFollower.Snapshot().Preset.GrowthCap },
		Interval:     func() time.Duration { return x.configFollower.Snapshot().Preset.ShiftInterval },
		IdleBaseRate: x.idleBaseRate,
	}
	x.receive = &receive.Receive{Clock: h.Clock, Snapshot: x.configFollower.Snapshot, Admit: x.admitForwarded, Serve: x.serveForwarded}
}

// remoteCallerKey is the context key that marks a request whose caller is
// nearest to another region.
type remoteCallerKey struct{}

// markRemoteCallers marks the requests of callers that are nearest to another
// region. Look-ups can direct all of these callers to this region at the same
// time, so serveCaller applies the growth cap to their requests.
func (x *components) markRemoteCallers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if a, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
			if _, n, ok := x.findBlock(a.Addr().Unmap()); ok && n != x.host.Settings.Region {
				r = r.WithContext(context.WithValue(r.Context(), remoteCallerKey{}, true))
			}
		}
		next.ServeHTTP(w, r)
	})
}

// forwardCaller sends a caller's request through another failure domain.
func (x *components) forwardCaller(ctx context.Context, r *request.Request, w http.ResponseWriter) outcome.Outcome {
	o, _ := x.forward.Serve(ctx, r, w)
	return o
}

// serveCaller serves a request that a caller sent to this host. Requests of
// callers nearest to other regions are subject to the growth cap.
func (x *components) serveCaller(ctx context.Context, r *request.Request, w http.ResponseWriter) outcome.Outcome {
	f := ctx.Value(remoteCallerKey{}) != nil
	if f {
		if t, ok := x.localDomain.growthLimit.Admit(); !ok {
			return growthLimitOutcome(t)
		}
	}
	o := x.serveLocally(ctx, r, w)
	switch {
	case f && o.Ran == outcome.RanNo:
		x.localDomain.growthLimit.Cancel()
	case !f && o.Ran != outcome.RanNo:
		x.localDomain.growthLimit.CountLocal()
	}
	return o
}

func growthLimitOutcome(t time.Duration) outcome.Outcome {
	return outcome.Outcome{
		Outcome: outcome.NoCapacity, Ran: outcome.RanNo, Message: "traffic from elsewhere grows too fast", RetryAfter: t,
	}
}

// admitForwarded admits a request that was forwarded from another failure
// domain, within the growth cap and the capacity of the link back to the
// sender, and counts it until its last frame is sent.
func (x *components) admitForwarded(r *request.Request, region string) (func(o outcome.Outcome, bytes int64), outcome.Outcome) {
	t, ok := x.localDomain.growthLimit.Admit()
	if !ok {
		return nil, growthLimitOutcome(t)
	}
	s, t, ok := x.localDomain.links.Take(x.host.Settings.Region, region, r.Service.AnswerBytes)
	if !ok {
		x.localDomain.growthLimit.Cancel()
		return nil, outcome.Outcome{
			Outcome: outcome.NoCapacity, Ran: outcome.RanNo, Message: "the link to the caller's region is full", RetryAfter: t,
		}
	}
	d := x.requests.inflight.Begin()
	return func(o outcome.Outcome, n int64) {
		defer d()
		s(n)
		if o.Ran == outcome.RanNo {
			x.localDomain.growthLimit.Cancel()
		}
	}, outcome.Outcome{}
}

func (x *components) currentLinks() []link.Link {
	s := x.configFollower.Snapshot()
	if s == nil {
		return nil
	}
	return s.Config.Links
}

// idleBaseRate returns the request rate from which the traffic of an idle
// failure domain may grow: the rate that this host's slots sustain if every
// request takes as long as it does with cold caches.
func (x *components) idleBaseRate() float64 {
	n := 0
	for _, l := range x.serviceQueues.Loads() {
		n += int(l.Slots)
	}
	return float64(n) / coldRequestTime.Seconds()
}

// handleBorrow answers a request of a peer for a loan of slots or tokens.
func (x *components) handleBorrow(b *wire.BorrowRequest) *wire.BorrowResponse {
	if strings.HasPrefix(b.Limit, slotloan.Prefix) {
		return x.localDomain.loan.Receive(b)
	}
	return x.lendTokens(b)
}

// slotLenders returns the hosts of the local failure domain that report more
// than one free slot of a service.
func (x *components) slotLenders(service string) []member.Member {
	return x.shuffleByFreeSlots(service, func(m member.Member, free int) bool {
		return m.Domain == x.host.Settings.Domain && free > 1
	})
}

// forwardTargets returns the hosts of other failure domains that have free
// slots. Hosts of the local region come first, because forwarding to another
// region uses the bandwidth of a link and has a hundred times the latency of
// forwarding within the region.
func (x *components) forwardTargets(service string) []member.Member {
	r := x.shuffleByFreeSlots(service, func(m member.Member, free int) bool {
		return m.Domain != x.host.Settings.Domain && !m.Leaving && free > 0
	})
	n := func(m member.Member) bool { return m.Region == x.host.Settings.Region }
	sort.SliceStable(r, func(i, j int) bool { return n(r[i]) && !n(r[j]) })
	return r
}

// shuffleByFreeSlots returns the wanted peers in random order, weighted by their
// reported free slots. The reports are seconds old. If every host sorted the
// peers by these reports, all hosts would send their requests to the same peer.
func (x *components) shuffleByFreeSlots(service string, wanted func(m member.Member, free int) bool) []member.Member {
	var r []member.Member
	f := make(map[string]float64)
	for _, m := range x.membership.Alive() {
		if n := x.freeSlots(m.Name, service); wanted(m, n) {
			f[m.Name] = -math.Log(nonZeroRandom()) / float64(n)
			r = append(r, m)
		}
	}
	sort.Slice(r, func(i, j int) bool { return f[r[i].Name] < f[r[j].Name] })
	return r
}

func (x *components) freeSlots(host, service string) int {
	h, ok := x.membership.LastHeartbeat(host)
	if !ok {
		return 0
	}
	for _, l := range h.Loads {
		if l.Service == service {
			return int(l.Slots) - int(l.Busy) - int(l.Waiting)
		}
	}
	return 0
}

// siblings returns the names of the live hosts of the local failure domain,
// including this one, and the position of this host among them in name order.
func (x *components) siblings() (names []string, self int) {
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

// slotDomains returns the failure domains whose slots this host may use: the
// local one, and each other failure domain of the region whose slots were
// assigned to this host because that domain has lost all its hosts.
func (x *components) slotDomains() []string {
	r := []string{x.host.Settings.Domain}
	s := x.configFollower.Snapshot()
	if s == nil {
		return r
	}
	for _, d := range s.Config.Domains {
		if d.Name != r[0] && d.Region == x.host.Settings.Region && x.limits.entitlement.Fraction(divisionwriter.SlotsPrefix+d.Name) > 0 {
			r = append(r, d.Name)
		}
	}
	return r
}

// ownedSlots returns how many slots of a backend server this host owns.
func (x *components) ownedSlots(b backend.Backend) int {
	return len(x.limits.entitlement.Slots(divisionwriter.SlotsPrefix+b.Domain, b.Slots))
}
