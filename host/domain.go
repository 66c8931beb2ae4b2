package host

import (
	"context"
	"net/http"
	"sort"
	"strings"
	"time"

	"celeryreach.example/celeryreach/backend"
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
)

// newDomain makes the parts that look after the backend servers of the host's
// failure domain.
func (x *parts) newDomain() {
	h := x.host
	x.loan = &slotloan.Slotloan{
		Clock: h.Clock, Host: h.Settings.Name, Longest: h.Settings.Hold * 9 / 10,
		Siblings: x.lenders, Ask: x.peerclient.Borrow,
	}
	x.lanes = &lanes.Lanes{
		Clock: h.Clock, Domain: h.Settings.Domain, Snapshot: x.follower.Snapshot,
		Slots: x.slots, Borrowed: x.loan.Acquire,
		Drained: func(name, sign string, d time.Duration) {
			h.Log.Info("backend server drained", "Backend", name, "Sign", sign, "Took", d)
		},
	}
	x.loan.Adopt = x.lanes.Adopt
	x.loan.Kick = x.lanes.Kick
	x.loan.Lend = x.lanes.Lend
	x.probe = &healthcheck.Healthcheck{
		Clock: h.Clock, Interval: probeEvery, Timeout: probeTimeout, Backends: x.lanes.Suspects, Report: x.lanes.Probed,
	}
}

// newForwarding makes the parts that pass requests between failure domains.
func (x *parts) newForwarding() {
	h := x.host
	x.links = &linklimit.Linklimit{Clock: h.Clock, Links: x.linksInForce, Part: x.fraction}
	x.streams = &streampool.Streampool{
		Clock: h.Clock, Dial: h.Dial, Idle: streamIdle, PerAddress: streamsPerAddress, Dials: dials,
	}
	x.forward = &forward.Forward{
		Clock: h.Clock, Region: h.Settings.Region, Targets: x.targets, Open: x.streams.Open, Limit: forwards,
		Version: func() uint64 { return x.follower.Snapshot().Config.Version },
		Link: func(region string, n int64) (func(int64), time.Duration, bool) {
			return x.links.Take(h.Settings.Region, region, n)
		},
	}
	x.growth = &growth.Growth{
		Clock:    h.Clock,
		Cap:      func() float64 { return x.follower.Snapshot().Preset.GrowthCap },
		Interval: func() time.Duration { return x.follower.Snapshot().Preset.ShiftInterval },
		Idle:     x.idleRate,
	}
	x.receive = &receive.Receive{Clock: h.Clock, Snapshot: x.follower.Snapshot, Admit: x.admitForwarded, Serve: x.dispatch.Serve}
}

// local runs a request of an own caller.
func (x *parts) local(ctx context.Context, r *request.Request, w http.ResponseWriter) outcome.Outcome {
	o := x.dispatch.Serve(ctx, r, w)
	if o.Ran != outcome.RanNo {
		x.growth.Note()
	}
	return o
}

// admitForwarded lets a request of another failure domain in as fast as the
// growth cap and the link back allow.
func (x *parts) admitForwarded(r *request.Request, region string) (func(o outcome.Outcome, bytes int64), outcome.Outcome) {
	t, ok := x.growth.Admit()
	if !ok {
		return nil, outcome.Outcome{
			Outcome: outcome.NoCapacity, Ran: outcome.RanNo, Message: "traffic from elsewhere grows too fast", RetryAfter: t,
		}
	}
	sent, t, ok := x.links.Take(x.host.Settings.Region, region, r.Service.AnswerBytes)
	if !ok {
		x.growth.Return()
		return nil, outcome.Outcome{
			Outcome: outcome.NoCapacity, Ran: outcome.RanNo, Message: "the link to the caller's region is full", RetryAfter: t,
		}
	}
	return func(o outcome.Outcome, n int64) {
		sent(n)
		if o.Ran == outcome.RanNo {
			x.growth.Return()
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

// idleRate is the traffic from which an idle domain grows: one request a
// second for each slot of this host.
func (x *parts) idleRate() float64 {
	n := 0
	for _, l := range x.lanes.Loads() {
		n += int(l.Slots)
	}
	return float64(n)
}

// borrow answers a request for a loan.
func (x *parts) borrow(b *wire.BorrowRequest) *wire.BorrowResponse {
	if strings.HasPrefix(b.Limit, slotloan.Prefix) {
		return x.loan.Receive(b)
	}
	return &wire.BorrowResponse{}
}

// lenders returns the hosts of the own failure domain that report more than
// one free slot of a service, those with the most first.
func (x *parts) lenders(service string) []member.Member {
	return x.ranked(service, func(m member.Member, free int) bool {
		return m.Domain == x.host.Settings.Domain && free > 1
	})
}

// targets returns the hosts of other failure domains, those with the most free
// slots first.
func (x *parts) targets(service string) []member.Member {
	return x.ranked(service, func(m member.Member, free int) bool {
		return m.Domain != x.host.Settings.Domain && !m.Leaving && free > 0
	})
}

// ranked returns the peers that are wanted by their reported free slots.
func (x *parts) ranked(service string, wanted func(m member.Member, free int) bool) []member.Member {
	var r []member.Member
	f := make(map[string]int)
	for _, m := range x.membership.Alive() {
		if n := x.free(m.Name, service); wanted(m, n) {
			f[m.Name] = n
			r = append(r, m)
		}
	}
	sort.SliceStable(r, func(i, j int) bool { return f[r[i].Name] > f[r[j].Name] })
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
