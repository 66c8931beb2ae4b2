package host

import (
	"context"
	"math"
	"net/http"
	"net/netip"
	"sort"
	"strings"
	"time"

	"celeryreach.example/celeryreach/author"
	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/child"
	"celeryreach.example/celeryreach/forward"
	"celeryreach.example/celeryreach/growth"
	"celeryreach.example/celeryreach/healthcheck"
	"celeryreach.example/celeryreach/lanes"
	"celeryreach.example/celeryreach/link"
	"celeryreach.example/celeryreach/linklimit"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/receive"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/slotloan"
	"celeryreach.example/celeryreach/streampool"
	"celeryreach.example/celeryreach/wire"
)

const (
	probeEvery   = 2 * time.Second
	probeTimeout = time.Second

	// streamIdle is less than the time after which firewalls forget a
	// connection that nobody uses.
	streamIdle        = 5 * time.Second
	streamsPerAddress = 8
	dials             = 32
	forwards          = 1000

	// coldHold is taken to be the time of a request with cold caches.
	coldHold = 100 * time.Millisecond
)

// site holds the parts that look after the backend servers of the host's
// failure domain, and that pass requests between domains.
type site struct {
	loan    *slotloan.Slotloan
	checks  *healthcheck.Healthcheck
	links   *linklimit.Linklimit
	growth  *growth.Growth
	streams *streampool.Streampool
}

// newDomain makes them.
func (x *parts) newDomain() {
	x.site = new(site)
	x.newLanes()
	x.newForwarding()
}

// children are the supervised parts of the domain.
func (d *site) children(x *parts) []child.Child {
	return []child.Child{
		{Name: "lanes", Run: x.lanes.Run},
		{Name: "healthcheck", Run: d.checks.Run},
		{Name: "slotloan", Run: d.loan.Run},
		{Name: "streams", Run: d.streams.Run},
	}
}

func (x *parts) newLanes() {
	h := x.host
	d := x.site
	d.loan = &slotloan.Slotloan{
		Clock: h.Clock, Host: h.Settings.Name, Longest: h.Settings.Hold * 9 / 10,
		Siblings: x.slotLenders, Ask: x.peerclient.Borrow,
	}
	x.lanes = &lanes.Lanes{
		Clock: h.Clock, Domains: x.reach, Snapshot: x.follower.Snapshot,
		Slots: x.slots, Borrowed: d.loan.Acquire,
		Drained: x.drained,
	}
	d.loan.Adopt = x.lanes.Adopt
	d.loan.Kick = x.lanes.Kick
	d.loan.Lend = x.lendSlot
	d.checks = &healthcheck.Healthcheck{
		Clock: h.Clock, Interval: probeEvery, Timeout: probeTimeout, Backends: x.lanes.Suspects, Report: x.lanes.Probed,
	}
}

// lendSlot lends a free slot, but not on the way out: others get this host's
// slots before a loan of them is over.
func (x *parts) lendSlot(service string, d time.Duration) (backend string, back func(), ok bool) {
	if x.leaving.Load() {
		return "", nil, false
	}
	return x.lanes.Lend(service, d)
}

// newForwarding makes the parts that pass requests between failure domains.
func (x *parts) newForwarding() {
	h := x.host
	d := x.site
	d.links = &linklimit.Linklimit{Clock: h.Clock, Links: x.linksInForce, Part: x.limits.holding.Part}
	d.streams = &streampool.Streampool{
		Clock: h.Clock, Dial: h.dialPeer, Idle: streamIdle, PerAddress: streamsPerAddress, Dials: dials,
	}
	x.forward = &forward.Forward{
		Clock: h.Clock, Region: h.Settings.Region, Targets: x.targets, Open: d.streams.Open, Limit: forwards,
		Version: func() uint64 { return x.follower.Snapshot().Config.Version },
		Link: func(region string, n int64) (func(int64), time.Duration, bool) {
			return d.links.Take(h.Settings.Region, region, n)
		},
	}
	d.growth = &growth.Growth{
		Clock:    h.Clock,
		Cap:      func() float64 { return x.follower.Snapshot().Preset.GrowthCap },
		Interval: func() time.Duration { return x.follower.Snapshot().Preset.ShiftInterval },
		Idle:     x.idleRate,
	}
	x.receive = &receive.Receive{Clock: h.Clock, Snapshot: x.follower.Snapshot, Admit: x.admitForwarded, Serve: x.serveForwarded}
}

// elsewhere marks the context of a request whose caller's nearest region is
// another one.
type elsewhere struct{}

// mark finds out whose callers are near another region. They are here because
// look-ups steered them, all at once perhaps.
func (x *parts) mark(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if a, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
			if _, n, ok := x.block(a.Addr().Unmap()); ok && n != x.host.Settings.Region {
				r = r.WithContext(context.WithValue(r.Context(), elsewhere{}, true))
			}
		}
		next.ServeHTTP(w, r)
	})
}

// local runs a request of a caller of this host.
func (x *parts) local(ctx context.Context, r *request.Request, w http.ResponseWriter) outcome.Outcome {
	f := ctx.Value(elsewhere{}) != nil
	if f {
		if t, ok := x.site.growth.Admit(); !ok {
			return tooFast(t)
		}
	}
	o := x.serve(ctx, r, w)
	switch {
	case f && o.Ran == outcome.RanNo:
		x.site.growth.Return()
	case !f && o.Ran != outcome.RanNo:
		x.site.growth.Note()
	}
	return o
}

func tooFast(t time.Duration) outcome.Outcome {
	return outcome.Outcome{
		Outcome: outcome.NoCapacity, Ran: outcome.RanNo, Message: "traffic from elsewhere grows too fast", RetryAfter: t,
	}
}

// admitForwarded lets a request of another failure domain in as fast as the
// growth cap and the link back allow.
func (x *parts) admitForwarded(r *request.Request, region string) (func(o outcome.Outcome, bytes int64), outcome.Outcome) {
	t, ok := x.site.growth.Admit()
	if !ok {
		return nil, tooFast(t)
	}
	s, t, ok := x.site.links.Take(x.host.Settings.Region, region, r.Service.AnswerBytes)
	if !ok {
		x.site.growth.Return()
		return nil, outcome.Outcome{
			Outcome: outcome.NoCapacity, Ran: outcome.RanNo, Message: "the link to the caller's region is full", RetryAfter: t,
		}
	}
	return func(o outcome.Outcome, n int64) {
		s(n)
		if o.Ran == outcome.RanNo {
			x.site.growth.Return()
		}
	}, outcome.Outcome{}
}

func (x *parts) linksInForce() []link.Link {
	s := x.follower.Snapshot()
	if s == nil {
		return nil
	}
	return s.Config.Links
}

// idleRate is the traffic from which an idle domain grows: what this host's
// slots can run if requests take as long as they do with cold caches.
func (x *parts) idleRate() float64 {
	n := 0
	for _, l := range x.lanes.Loads() {
		n += int(l.Slots)
	}
	return float64(n) / coldHold.Seconds()
}

// borrow answers a request for a loan.
func (x *parts) borrow(b *wire.BorrowRequest) *wire.BorrowResponse {
	if strings.HasPrefix(b.Limit, slotloan.Prefix) {
		return x.site.loan.Receive(b)
	}
	return x.lend(b)
}

// slotLenders returns the hosts of the own failure domain that report more than
// one free slot of a service.
func (x *parts) slotLenders(service string) []member.Member {
	return x.drawn(service, func(m member.Member, free int) bool {
		return m.Domain == x.host.Settings.Domain && free > 1
	})
}

// targets returns the hosts of other failure domains with free slots, those of
// the own region first: a link costs bytes and a hundred times the time.
func (x *parts) targets(service string) []member.Member {
	r := x.drawn(service, func(m member.Member, free int) bool {
		return m.Domain != x.host.Settings.Domain && !m.Leaving && free > 0
	})
	n := func(m member.Member) bool { return m.Region == x.host.Settings.Region }
	sort.SliceStable(r, func(i, j int) bool { return n(r[i]) && !n(r[j]) })
	return r
}

// drawn returns the peers that are wanted in random order, weighted by their
// reported free slots. In the order of a report that is seconds old, every host
// would send its requests to the same one.
func (x *parts) drawn(service string, wanted func(m member.Member, free int) bool) []member.Member {
	var r []member.Member
	f := make(map[string]float64)
	for _, m := range x.membership.Alive() {
		if n := x.free(m.Name, service); wanted(m, n) {
			f[m.Name] = -math.Log(open()) / float64(n)
			r = append(r, m)
		}
	}
	sort.Slice(r, func(i, j int) bool { return f[r[i].Name] < f[r[j].Name] })
	return r
}

func (x *parts) free(host, service string) int {
	h, ok := x.membership.Last(host)
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

// siblings returns the names of the hosts of the own failure domain that are
// alive, this one included, and this one's place among them by name.
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

// reach returns the own failure domain, and those of the region whose slots
// this host got when they lost their last host.
func (x *parts) reach() []string {
	r := []string{x.host.Settings.Domain}
	s := x.follower.Snapshot()
	if s == nil {
		return r
	}
	for _, d := range s.Config.Domains {
		if d.Name != r[0] && d.Region == x.host.Settings.Region && x.limits.holding.Part(author.SlotsPrefix+d.Name) > 0 {
			r = append(r, d.Name)
		}
	}
	return r
}

// slots returns how many slots of a backend server this host owns.
func (x *parts) slots(b backend.Backend) int {
	return len(x.limits.holding.Slots(author.SlotsPrefix+b.Domain, b.Slots))
}
