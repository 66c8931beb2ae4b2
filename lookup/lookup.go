// Package lookup tells callers which entry hosts to use.
package lookup

import (
	"math"
	"net/http"
	"net/netip"
	"sort"
	"time"

	"celeryreach.example/celeryreach/answer"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/plan"
	"celeryreach.example/celeryreach/refusal"
	"celeryreach.example/celeryreach/rendezvous"
	"celeryreach.example/celeryreach/roster"
	"celeryreach.example/celeryreach/route"
	"celeryreach.example/celeryreach/snapshot"
)

const (
	// fewHosts is how many hosts of a region an account's callers meet on: its
	// tokens are then where its callers are, and one lost host moves a third
	// of them.
	fewHosts = 3
	// namedHosts is how many hosts of the region an answer names at most, more
	// than a failure domain has, so that one that drains leaves some.
	namedHosts = 6
	// ttlSpread is the part of the time to live that is drawn at random, so
	// that callers that asked together do not come back together.
	ttlSpread = 0.2
	// An address without a client block is steered with its neighbors.
	bits4 = 24
	bits6 = 48
)

// Lookup answers GET /lookup from memory alone: without the platform, peers or
// a planner it goes on with what it has.
type Lookup struct {
	// Snapshot returns the configuration in force, nil before the first.
	Snapshot func() *snapshot.Snapshot
	// Plan returns the plan in force, nil before the first.
	Plan func() *plan.Plan
	// Hosts returns the hosts that are alive, this one included.
	Hosts func() *roster.Roster
	// Block returns the client block of an address and its nearest region.
	Block func(a netip.Addr) (netip.Prefix, string, bool)
	// Home is the region of callers of whom nothing is known.
	Home string
	// Lost reports whether no host of a region was heard for long.
	Lost func(region string) bool
	// Moved returns how many points of a lost region's callers are steered to
	// other regions.
	Moved func(service, region string) int
	// Last returns the hosts of a region that were heard last, alive or not.
	Last func(region string) []member.Member
	// Asked is told of each look-up of a caller.
	Asked func(service, home string)
	// Random returns a number in 0..1, without 0 and 1.
	Random func() float64
}

// ServeHTTP answers one look-up.
func (l *Lookup) ServeHTTP(w http.ResponseWriter, h *http.Request) {
	q := h.URL.Query()
	a, o := l.address(q.Get("address"), h.RemoteAddr)
	if o.Outcome == "" {
		o = l.check(q.Get("service"), q.Get("region"))
	}
	if o.Outcome != "" {
		refusal.Write(w, o)
		return
	}
	l.Asked(q.Get("service"), l.homeOf(q.Get("region"), a))
	r, o := l.Find(q.Get("account"), q.Get("service"), q.Get("region"), a)
	if o.Outcome != "" {
		refusal.Write(w, o)
		return
	}
	b, err := codec.Marshal(r)
	if err != nil {
		panic(err) // an Answer holds nothing that JSON cannot
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b) // a failed write means that the caller left
}

// address reads the caller's address, by default the one that it asks from.
func (l *Lookup) address(given, remote string) (netip.Addr, outcome.Outcome) {
	if given == "" {
		p, err := netip.ParseAddrPort(remote)
		if err != nil {
			return netip.Addr{}, outcome.Outcome{}
		}
		return p.Addr(), outcome.Outcome{}
	}
	a, err := netip.ParseAddr(given)
	if err != nil {
		return a, bad("address: not an IP address")
	}
	return a, outcome.Outcome{}
}

func (l *Lookup) check(service, region string) outcome.Outcome {
	s := l.Snapshot()
	if s == nil {
		return outcome.Outcome{}
	}
	if region != "" && !s.HasRegion(region) {
		return bad("region: there is no such region")
	}
	if _, ok := s.Named(service); service != "" && !ok {
		return bad("service: there is no such service")
	}
	return outcome.Outcome{}
}

// Find returns the entry hosts for a caller, or the outcome that says why it
// gets none. An empty region means the one that is nearest to the address.
func (l *Lookup) Find(account, service, region string, a netip.Addr) (answer.Answer, outcome.Outcome) {
	b, _ := l.home(a)
	h := l.homeOf(region, a)
	p := l.Plan()
	t := p.Route(service, h).Find(route.Point(service, b)).Region
	m := l.Hosts()
	if l.Lost(t) || l.Moved(service, t) > 0 {
		e, ok := l.elsewhere(service, t, b, m)
		if !ok {
			return answer.Answer{}, l.wait(t)
		}
		t = e
	}
	r := answer.Answer{Region: t}
	k := l.rank(account, t, b, m, p)
	if len(k) == 0 {
		// None was heard for a moment. Its hosts may be there all the same,
		// and the region only counts as lost after a longer silence.
		k = l.Last(t)
	}
	for _, v := range k {
		r.EntryHosts = append(r.EntryHosts, v.CallerAddress)
	}
	if p != nil {
		r.PlanVersion = p.Version
	}
	if s := l.Snapshot(); s != nil {
		r.TTL = time.Duration(float64(s.Preset.LookupTTL) * (1 - ttlSpread*l.Random()))
		r.ConfigVersion = s.Config.Version
	}
	return r, outcome.Outcome{}
}

// homeOf returns the region that a caller names, or the one of its block.
func (l *Lookup) homeOf(region string, a netip.Addr) string {
	if region != "" {
		return region
	}
	_, h := l.home(a)
	return h
}

// home returns the name of the caller's client block and its region.
func (l *Lookup) home(a netip.Addr) (block, region string) {
	if p, r, ok := l.Block(a); ok {
		return p.String(), r
	}
	n := bits4
	if a.Unmap().Is6() {
		n = bits6
	}
	p, err := a.Unmap().Prefix(n)
	if err != nil {
		return "", l.Home
	}
	return p.String(), l.Home
}

// elsewhere returns the region for a caller of a region that is lost or comes
// back. It reports false while the caller's turn to move has not come.
func (l *Lookup) elsewhere(service, region, block string, o *roster.Roster) (string, bool) {
	if route.Point("failover "+service, block) >= l.Moved(service, region) {
		return region, !l.Lost(region)
	}
	t, h := "", 0.0
	for _, n := range o.Regions {
		if s := rendezvous.Score(block, n, o.Weight(n)); n != region && s > h {
			t, h = n, s
		}
	}
	return t, t != ""
}

// wait refuses a caller of a lost region until its turn comes. The hosts that
// were heard last are named: they may only be cut off from this one.
func (l *Lookup) wait(region string) outcome.Outcome {
	o := outcome.Outcome{
		Outcome: outcome.NoCapacity, Ran: outcome.RanNo, RetryAfter: time.Second,
		Message: "the region is lost, and its callers are moved in steps",
	}
	for _, v := range l.Last(region) {
		o.EntryHosts = append(o.EntryHosts, v.CallerAddress)
	}
	if s := l.Snapshot(); s != nil {
		o.RetryAfter = time.Duration(float64(s.Preset.ShiftInterval) * (1 - ttlSpread*l.Random()))
	}
	return o
}

// rank orders a region's hosts: the account's few, then some others, then those
// that are drained for this caller. Among the few chance decides, so that
// callers who share an address, as behind a translator, spread as well.
func (l *Lookup) rank(account, region, block string, o *roster.Roster, p *plan.Plan) []member.Member {
	m, w := o.Hosts(region)
	var k, d []ranked
	for _, i := range o.Preferred(account, region, namedHosts) {
		x := p.Weight(m[i].Domain)
		if x < 1 && rendezvous.Uniform(block, m[i].Domain) >= x {
			d = append(d, ranked{host: i})
			continue
		}
		k = append(k, ranked{host: i, score: -w[i] / math.Log(l.Random())})
	}
	f := k[:min(len(k), fewHosts)]
	sort.SliceStable(f, func(i, j int) bool { return f[i].score > f[j].score })
	r := make([]member.Member, 0, len(k)+len(d))
	for _, v := range append(k, d...) {
		r = append(r, m[v.host])
	}
	return r
}

// ranked is a host and the chance that it was drawn with.
type ranked struct {
	host  int
	score float64
}

func bad(m string) outcome.Outcome {
	return outcome.Outcome{Outcome: outcome.BadRequest, Ran: outcome.RanNo, Message: m}
}
