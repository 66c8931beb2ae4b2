// Package lookup answers callers' look-ups of entry hosts.
package lookup

import (
	"math"
	"net/http"
	"net/netip"
	"sort"
	"time"

	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/errorresponse"
	"celeryreach.example/celeryreach/lookupanswer"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/plan"
	"celeryreach.example/celeryreach/rendezvous"
	"celeryreach.example/celeryreach/roster"
	"celeryreach.example/celeryreach/route"
	"celeryreach.example/celeryreach/snapshot"
)

const (
	// hostsPerAccount is the number of a region's hosts that an account's
	// callers share. With so few hosts, the account's tokens are at the hosts
	// that its callers use; with three, the loss of one host moves only a third
	// of the callers.
	hostsPerAccount = 3
	// maxEntryHosts is the maximum number of hosts in an answer. It is more
	// than the hosts of one failure domain, so that some entry hosts remain
	// when a failure domain drains.
	maxEntryHosts = 6
	// ttlJitter is the fraction of the time to live that is random, so that
	// callers that looked up at the same time do not return at the same
	// time.
	ttlJitter = 0.2
	// An address without a client block is steered together with all
	// addresses of the same prefix, which has fallbackBitsIPv4 or
	// fallbackBitsIPv6 bits.
	fallbackBitsIPv4 = 24
	fallbackBitsIPv6 = 48
)

// Lookup answers GET /lookup only with data that it has in memory. Without the
// platform, peers or a planner it continues with the data that it has.
type Lookup struct {
	// Snapshot returns the configuration in force, nil before the first.
	Snapshot func() *snapshot.Snapshot
	// Plan returns the plan in force, nil before the first.
	Plan func() *plan.Plan
	// Hosts returns the hosts that are alive, this one included.
	Hosts func() *roster.Roster
	// Block returns the client block of an address and its nearest region.
	Block func(a netip.Addr) (netip.Prefix, string, bool)
	// DefaultRegion is the region assumed for callers without a client block.
	DefaultRegion string
	// IsRegionLost reports whether no host of a region has sent a heartbeat for a
	// long time.
	IsRegionLost func(region string) bool
	// MovedPoints returns how many points of a lost region's callers are steered
	// to other regions.
	MovedPoints func(service, region string) int
	// LastKnownHosts returns the last known hosts of a region, alive or not.
	LastKnownHosts func(region string) []member.Member
	// OnLookup is called for each look-up, with the service and the caller's
	// home region.
	OnLookup func(service, home string)
	// Random returns a random number between 0 and 1, exclusive.
	Random func() float64
}

// ServeHTTP answers one look-up.
func (l *Lookup) ServeHTTP(w http.ResponseWriter, h *http.Request) {
	q := h.URL.Query()
	a, o := l.callerAddress(q.Get("address"), h.RemoteAddr)
	if o.Outcome == "" {
		o = l.validate(q.Get("service"), q.Get("region"))
	}
	if o.Outcome != "" {
		errorresponse.Write(w, o)
		return
	}
	l.OnLookup(q.Get("service"), l.homeRegion(q.Get("region"), a))
	r, o := l.Find(q.Get("account"), q.Get("service"), q.Get("region"), a)
	if o.Outcome != "" {
		errorresponse.Write(w, o)
		return
	}
	b, err := codec.Marshal(r)
	if err != nil {
		panic(err) // every Answer can be encoded as JSON
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b) // a failed write means that the caller has disconnected
}

// callerAddress returns the address given in the request, or by default the
// remote address of the connection.
func (l *Lookup) callerAddress(given, remote string) (netip.Addr, outcome.Outcome) {
	if given == "" {
		p, err := netip.ParseAddrPort(remote)
		if err != nil {
			return netip.Addr{}, outcome.Outcome{}
		}
		return p.Addr(), outcome.Outcome{}
	}
	a, err := netip.ParseAddr(given)
	if err != nil {
		return a, badRequest("address: not an IP address")
	}
	return a, outcome.Outcome{}
}

func (l *Lookup) validate(service, region string) outcome.Outcome {
	s := l.Snapshot()
	if s == nil {
		return outcome.Outcome{}
	}
	if region != "" && !s.HasRegion(region) {
		return badRequest("region: there is no such region")
	}
	if _, ok := s.ServiceByName(service); service != "" && !ok {
		return badRequest("service: there is no such service")
	}
	return outcome.Outcome{}
}

// Find returns the entry hosts for a caller, or the outcome with the reason why
// there are none. An empty region stands for the region nearest to the address.
func (l *Lookup) Find(account, service, region string, a netip.Addr) (lookupanswer.Lookupanswer, outcome.Outcome) {
	b, _ := l.clientBlock(a)
	h := l.homeRegion(region, a)
	p := l.Plan()
	t := p.Route(service, h).Find(route.Point(service, b)).Region
	m := l.Hosts()
	if l.IsRegionLost(t) || l.MovedPoints(service, t) > 0 {
		e, ok := l.failoverRegion(service, t, b, m)
		if !ok {
			return lookupanswer.Lookupanswer{}, l.refuseUntilMoved(t)
		}
		t = e
	}
	r := lookupanswer.Lookupanswer{Region: t}
	k := l.rankHosts(account, t, b, m, p)
	if len(k) == 0 {
		// No host of the region is alive at the moment, but its hosts
		// may still be running: a region counts as lost only after a
		// longer silence.
		k = l.LastKnownHosts(t)
	}
	for _, v := range k {
		r.EntryHosts = append(r.EntryHosts, v.CallerAddress)
	}
	if p != nil {
		r.PlanVersion = p.Version
	}
	if s := l.Snapshot(); s != nil {
		r.TTL = time.Duration(float64(s.Preset.LookupTTL) * (1 - ttlJitter*l.Random()))
		r.ConfigVersion = s.Config.Version
	}
	return r, outcome.Outcome{}
}

// homeRegion returns the region that the caller named, or else that of its
// client block.
func (l *Lookup) homeRegion(region string, a netip.Addr) string {
	if region != "" {
		return region
	}
	_, h := l.clientBlock(a)
	return h
}

// clientBlock returns the name of the caller's client block and its region.
func (l *Lookup) clientBlock(a netip.Addr) (block, region string) {
	if p, r, ok := l.Block(a); ok {
		return p.String(), r
	}
	n := fallbackBitsIPv4
	if a.Unmap().Is6() {
		n = fallbackBitsIPv6
	}
	p, err := a.Unmap().Prefix(n)
	if err != nil {
		return "", l.DefaultRegion
	}
	return p.String(), l.DefaultRegion
}

// failoverRegion returns the region for a caller whose region is lost or
// recovering. It reports false if the region is lost and the caller is not
// among the callers moved so far.
func (l *Lookup) failoverRegion(service, region, block string, o *roster.Roster) (string, bool) {
	if route.Point("failover "+service, block) >= l.MovedPoints(service, region) {
		return region, !l.IsRegionLost(region)
	}
	t, h := "", 0.0
	for _, n := range o.Regions {
		if s := rendezvous.Score(block, n, o.Weight(n)); n != region && s > h {
			t, h = n, s
		}
	}
	return t, t != ""
}

// refuseUntilMoved refuses a caller of a lost region that has not been moved
// yet. The answer names the last known hosts of the region, because they may
// still run and be unreachable only from this host.
func (l *Lookup) refuseUntilMoved(region string) outcome.Outcome {
	o := outcome.Outcome{
		Outcome: outcome.NoCapacity, Ran: outcome.RanNo, RetryAfter: time.Second,
		Message: "the region is lost, and its callers are moved in steps",
	}
	for _, v := range l.LastKnownHosts(region) {
		o.EntryHosts = append(o.EntryHosts, v.CallerAddress)
	}
	if s := l.Snapshot(); s != nil {
		o.RetryAfter = time.Duration(float64(s.Preset.ShiftInterval) * (1 - ttlJitter*l.Random()))
	}
	return o
}

// rankHosts orders a region's hosts: first the account's preferred hosts, then
// other hosts, then hosts in draining failure domains that no longer serve this
// caller. The preferred hosts are in random order, so that callers that share
// an address, as behind network address translation, are spread as well.
func (l *Lookup) rankHosts(account, region, block string, o *roster.Roster, p *plan.Plan) []member.Member {
	m, w := o.Hosts(region)
	var k, d []scoredHost
	for _, i := range o.Preferred(account, region, maxEntryHosts) {
		x := p.Weight(m[i].Domain)
		if x < 1 && rendezvous.Uniform(block, m[i].Domain) >= x {
			d = append(d, scoredHost{host: i})
			continue
		}
		k = append(k, scoredHost{host: i, score: -w[i] / math.Log(l.Random())})
	}
	f := k[:min(len(k), hostsPerAccount)]
	sort.SliceStable(f, func(i, j int) bool { return f[i].score > f[j].score })
	r := make([]member.Member, 0, len(k)+len(d))
	for _, v := range append(k, d...) {
		r = append(r, m[v.host])
	}
	return r
}

// scoredHost is the index of a host and its random score, which depends on the
// host's weight.
type scoredHost struct {
	host  int
	score float64
}

func badRequest(m string) outcome.Outcome {
	return outcome.Outcome{Outcome: outcome.BadRequest, Ran: outcome.RanNo, Message: m}
}
