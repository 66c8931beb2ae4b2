package edge_test

import (
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/credential"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/row"
	"celeryreach.example/celeryreach/upstream"
)

const (
	// homesGrace is how long a host may still send requests by a version of the configuration,
	// or a list of backend servers, that a newer one has replaced.
	homesGrace = 100 * time.Millisecond
	// homesDoubt is how long after its silence the store may be unreachable for a host, and the
	// host keeps backend servers that are missing: its RecoveryTime and two seconds.
	homesDoubt   = 6 * time.Second
	sendHeader   = "Send-Number" // of the host's sends; net/http repeats it
	chosenHeader = "Sent-To"     // the backend server and region that the host chose
)

// homesSeeds are the seeds that are played unless SEEDS says how many: between them, requests
// have left their homes on each way that was found.
var homesSeeds = []int{4, 5}

// The ways on which requests come to a backend server.
const (
	wayFirst     = "first try"
	wayLater     = "later try"
	wayRepeated  = "repeated by net/http"
	wayForwarded = "forwarded"
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// homes checks at backend servers that requests stay in their homes. A nil homes checks
// nothing.
type homes struct {
	log  *log.Logger
	play *homesPlay

	mu       sync.Mutex
	written  map[uint64]*config.Config // every version of the configuration
	versions map[string][]inForce      // by host
	lists    map[string][]inForce      // by host
	silent   map[string]time.Time      // until when the store did not answer a host
	sends    int
	calls    map[string]*homesCall // by request
	escaped  int                   // calls that left their homes
	escapes  []*homesCall          // the first of them of each way
	counts   map[string]int        // of the requests outside their homes, by the way that they took
	ways     map[string]int        // of all requests that arrived, by a part of the way that they took
	outcomes map[string]int
	homeless int      // requests refused since their homes have no backend server
	wrong    []string // other failures
}

// inForce is a version of the configuration, or a list of backend servers, that a host had
// from a point in time on.
type inForce struct {
	from    time.Time
	version uint64
	list    []backend.Backend
}

// homesCall is one request of a caller.
type homesCall struct {
	id, host, path, key string
	method              string
	at                  time.Time // of its admission
	sends               []string  // the different send numbers of what arrived
	lines               []string  // what happened to it
	escaped             bool
}

// binding is what a version of the configuration says on the homes of a request.
type binding struct {
	version                  uint64
	route, account           string
	routeHomes, accountHomes []string
}

func (b binding) allows(region string) bool {
	return (len(b.routeHomes) == 0 || slices.Contains(b.routeHomes, region)) &&
		(len(b.accountHomes) == 0 || slices.Contains(b.accountHomes, region))
}

func (b binding) String() string {
	return fmt.Sprintf("v%d route %s %v account %s %v", b.version, b.route, b.routeHomes, b.account, b.accountHomes)
}

// bind returns the homes of a request by one version.
func bind(c *config.Config, path, key string) binding {
	b := binding{version: c.Version}
	public, n := false, 0
	for _, r := range c.Routes {
		if strings.HasPrefix(path, r.Prefix) && len(r.Prefix) > n {
			b.route, b.routeHomes, public, n = r.Name, r.Homes, r.Public, len(r.Prefix)
		}
	}
	if public {
		return b
	}
	i := slices.IndexFunc(c.Keys, func(k credential.Credential) bool { return k.Hash == credential.Hash(key) })
	if i < 0 {
		return b
	}
	b.account = c.Keys[i].Account
	if j := slices.IndexFunc(c.Accounts, func(a account.Account) bool { return a.Name == b.account }); j >= 0 {
		b.accountHomes = c.Accounts[j].Homes
	}
	return b
}

// watchHomes records what each host has in force and which backend servers its requests
// reach.
func (w *deployment) watchHomes() {
	h := &homes{
		log: log.NewWithOptions(w.log, log.Options{Formatter: log.LogfmtFormatter}), written: make(map[uint64]*config.Config),
		versions: make(map[string][]inForce), lists: make(map[string][]inForce), silent: make(map[string]time.Time),
		calls: make(map[string]*homesCall), counts: make(map[string]int),
		ways: make(map[string]int), outcomes: make(map[string]int),
	}
	w.homes = h
	for n, e := range w.hosts {
		e.Decode = func(m map[string]row.Row) (*config.Config, map[string]bool) {
			c, z := decode(m)
			h.recordVersion(n, c.Version)
			return c, z
		}
		e.DecodeBackends = func(m map[string]row.Row) []backend.Backend {
			l := decodeBackends(m)
			h.recordList(n, l)
			return l
		}
		e.Log = e.Log.With("Host", n)
		e.Config.Log, e.Backends.Log = e.Log, e.Log
		f := e.Upstream.SetHeaders
		e.Upstream.SetHeaders = func(x http.Header, r *request.Request, b backend.Backend, left time.Duration) {
			f(x, r, b, left)
			x.Set(sendHeader, h.nextSend())
			x.Set(chosenHeader, b.Name+" in "+b.Region)
		}
	}
}

func (h *homes) nextSend() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sends++
	return strconv.Itoa(h.sends)
}

func (h *homes) recordVersion(host string, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if l := h.versions[host]; len(l) == 0 || l[len(l)-1].version < version {
		h.versions[host] = append(l, inForce{from: clock.Now(), version: version})
	}
}

func (h *homes) recordList(host string, l []backend.Backend) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lists[host] = append(h.lists[host], inForce{from: clock.Now(), list: l})
}

// within returns the part of l that was in force at some moment of a time. What was replaced
// at its first moment is included.
func within(l []inForce, from, to time.Time) []inForce {
	var r []inForce
	for _, v := range slices.Backward(l) {
		if v.from.After(to) {
			continue
		}
		r = append(r, v)
		if v.from.Before(from) {
			break
		}
	}
	return r
}

// bindings returns the homes of a request by the versions that a host had in a time, the
// newest first.
func (h *homes) bindings(host string, from, to time.Time, path, key string) []binding {
	var l []binding
	for _, v := range within(h.versions[host], from, to) {
		if c := h.written[v.version]; c != nil {
			l = append(l, bind(c, path, key))
		}
	}
	return l
}

// listedRegions returns the regions in which the list that a host had at a point in time, or a
// moment before, shows an address. If it does not show it, the last list counts that may still
// be in use.
func (h *homes) listedRegions(host, address string, at time.Time) []string {
	l := h.lists[host]
	r := regionsOf(within(l, at.Add(-homesGrace), at), address)
	if len(r) > 0 || !h.silent[host].Add(homesDoubt).After(at) {
		return r
	}
	for _, v := range within(l, at.Add(-homesDoubt), at) {
		if r := regionsOf([]inForce{v}, address); len(r) > 0 {
			return r
		}
	}
	return nil
}

// usedRegions returns the regions of the backend servers that a host may have used in a time.
func (h *homes) usedRegions(host string, from, to time.Time) []string {
	d := homesGrace
	if h.silent[host].Add(homesDoubt).After(from) {
		d = homesDoubt
	}
	return regionsOf(within(h.lists[host], from.Add(-d), to), "")
}

// regionsOf returns the regions of the backend servers of lists that have an address, or of all
// if it is empty.
func regionsOf(l []inForce, address string) []string {
	var r []string
	for _, v := range l {
		for _, b := range v.list {
			if address == "" || b.Address == address {
				r = append(r, b.Region)
			}
		}
	}
	slices.Sort(r)
	return slices.Compact(r)
}

// markSilent records that the store does not answer hosts until then.
func (h *homes) markSilent(hosts []string, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, n := range hosts {
		if until.After(h.silent[n]) {
			h.silent[n] = until
		}
	}
}

// begin records a request that a host admits now.
func (h *homes) begin(c *homesCall) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls[c.id] = c
}

// arrive checks a request that has reached a backend server. Where its address was another
// backend server's until a moment ago, the region in which the host knew that one counts too.
func (h *homes) arrive(s *server, q *http.Request) {
	if h == nil {
		return
	}
	s.mu.Lock()
	dead := s.dead
	s.mu.Unlock()
	if dead {
		panic(http.ErrAbortHandler)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.calls[q.Header.Get(upstream.IDHeader)]
	host := q.Header.Get(hostHeader)
	sent := time.Unix(0, q.Context().Value(connKey{}).(*delayed).other.written.Load())
	l := append(h.listedRegions(host, s.backend.Address, sent), s.backend.Region)
	allows := func(b binding) bool { return slices.ContainsFunc(l, b.allows) }
	a := h.bindings(c.host, c.at, c.at, c.path, c.key)
	n := h.bindings(host, sent.Add(-homesGrace), sent, c.path, c.key)
	var wrong []string
	if !slices.ContainsFunc(a, allows) {
		wrong = append(wrong, "outside the homes at its admission")
	}
	if !slices.ContainsFunc(append(h.newerHomes(c, n, sent), n...), allows) {
		wrong = append(wrong, "outside the homes that the sender has")
	}
	way := strings.Join(h.way(c, q, host), ", ")
	c.lines = append(c.lines, fmt.Sprintf("at %s, sent %s after its admission by %s (%s), chosen %s, reached %s at %s in %s, listed there in %v; %s; homes at admission: %v; of the sender: %v",
		clock.Now().Format("04:05.000"), sent.Sub(c.at), host, way, q.Header.Get(chosenHeader), s.backend.Name, s.backend.Address, s.backend.Region,
		l[:len(l)-1], strings.Join(wrong, ", "), a, n))
	if len(wrong) == 0 {
		return
	}
	way += ", " + strings.Join(wrong, ", ")
	h.counts[way]++
	if !c.escaped {
		c.escaped = true
		h.escaped++
	}
	if h.counts[way] == 1 && !slices.Contains(h.escapes, c) {
		h.escapes = append(h.escapes, c)
	}
}

// newerHomes returns the homes of a request by versions that the host which admitted it had
// before it was sent, and that are newer than all those of the host that sends it. What is
// forwarded to a host that is behind is held to these.
func (h *homes) newerHomes(c *homesCall, sender []binding, sent time.Time) []binding {
	return slices.DeleteFunc(h.bindings(c.host, c.at, sent, c.path, c.key), func(b binding) bool {
		return slices.ContainsFunc(sender, func(s binding) bool { return s.version >= b.version })
	})
}

// way describes how a request came to a backend server.
func (h *homes) way(c *homesCall, q *http.Request, host string) []string {
	var l []string
	if host != c.host {
		l = append(l, wayForwarded)
	}
	switch n := q.Header.Get(sendHeader); {
	case slices.Contains(c.sends, n):
		l = append(l, wayRepeated)
	case len(c.sends) > 0:
		l = append(l, wayLater)
		c.sends = append(c.sends, n)
	default:
		l = append(l, wayFirst)
		c.sends = append(c.sends, n)
	}
	for _, v := range l {
		h.ways[v]++
	}
	return l
}

// end checks the outcome of a request.
func (h *homes) end(c *homesCall, r *request.Request, o outcome.Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c.lines = append(c.lines, fmt.Sprintf("ended after %s: %s, ran %s, %s", clock.Since(c.at), o.Outcome, o.Ran, o.Message))
	if c.escaped {
		r.DecisionLog.Write(h.log, r.ID, clock.Now())
	}
	h.outcomes[o.Outcome]++
	a := h.bindings(c.host, c.at, c.at, c.path, c.key)
	if h.hasBackend(a, c.at) {
		return
	}
	h.homeless++
	if o.Outcome != outcome.NoCapacity || o.Ran != outcome.RanNo || len(c.sends) > 0 {
		h.wrong = append(h.wrong, fmt.Sprintf("request %s has no backend server in its homes %v: %s", c.id, a, strings.Join(c.lines, "; ")))
	}
}

// hasBackend reports whether any host may have known a backend server in the homes of a request
// since then.
func (h *homes) hasBackend(l []binding, since time.Time) bool {
	for n := range h.lists {
		for _, g := range h.usedRegions(n, since, clock.Now()) {
			if slices.ContainsFunc(l, func(b binding) bool { return b.allows(g) }) {
				return true
			}
		}
	}
	return false
}

// failures describes what must not have happened.
func (h *homes) failures(w *deployment) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.wrong
	for _, v := range w.runs.wrong() {
		l = append(l, v)
		// Most of these begin with the request.
		if f := strings.Fields(v); h.calls[f[1]] != nil {
			l = append(l, h.describe(w, h.calls[f[1]]))
		}
	}
	for _, k := range []string{wayFirst, wayLater, wayRepeated, wayForwarded} {
		if h.ways[k] == 0 {
			l = append(l, "no request arrived so: "+k)
		}
	}
	if h.homeless == 0 {
		l = append(l, "no request had homes without a backend server")
	}
	if h.escaped > 0 {
		l = append(l, fmt.Sprintf("of %d requests, %d reached backend servers outside their homes:", len(h.calls), h.escaped))
	}
	if len(l) > 0 {
		l = append(l, fmt.Sprintf("ways %v, outcomes %v, without a backend server in their homes %d, versions %d", h.ways, h.outcomes, h.homeless, len(h.written)))
	}
	for _, k := range slices.Sorted(maps.Keys(h.counts)) {
		l = append(l, fmt.Sprintf("%d: %s", h.counts[k], k))
	}
	for _, c := range h.escapes {
		l = append(l, h.describe(w, c))
	}
	return l
}

// describe describes all that is known of a request.
func (h *homes) describe(w *deployment, c *homesCall) string {
	return fmt.Sprintf("request %s: %s %s with key %s, admitted by %s at %s\n\t%s\n%s", c.id, c.method, c.path, c.key, c.host,
		c.at.Format("04:05.000"), strings.Join(c.lines, "\n\t"), w.logged("Request="+c.id+" "))
}

// Guards against requests that reach a backend server outside their homes: those of the
// version that admitted them, or those that the host that sends them has.
func TestRequestsStayInHomes(t *testing.T) {
	l := homesSeeds
	if s := os.Getenv("SEEDS"); s != "" {
		n, err := strconv.Atoi(s)
		must.NoError(t, err)
		l = nil
		for i := range n {
			l = append(l, i)
		}
	}
	for _, i := range l {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			runInBubbles(t, "homes", 1, func(t *testing.T, script string, _ int) { runScript(t, script, 0, uint64(i)) })
		})
	}
}
