// Package edge puts together an entry host whose configuration and backend
// servers are listed in the users' store, and which reaches every backend server
// itself.
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
	"celeryreach.example/celeryreach/backendlimit"
	"celeryreach.example/celeryreach/borrower"
	"celeryreach.example/celeryreach/budget"
	"celeryreach.example/celeryreach/child"
	"celeryreach.example/celeryreach/coldpace"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/copier"
	"celeryreach.example/celeryreach/counter"
	"celeryreach.example/celeryreach/discovery"
	"celeryreach.example/celeryreach/dispatch"
	"celeryreach.example/celeryreach/gateway"
	"celeryreach.example/celeryreach/ingressbook"
	"celeryreach.example/celeryreach/latency"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/membership"
	"celeryreach.example/celeryreach/mirror"
	"celeryreach.example/celeryreach/partners"
	"celeryreach.example/celeryreach/peerclient"
	"celeryreach.example/celeryreach/peerserver"
	"celeryreach.example/celeryreach/permits"
	"celeryreach.example/celeryreach/placement"
	"celeryreach.example/celeryreach/row"
	"celeryreach.example/celeryreach/silence"
	"celeryreach.example/celeryreach/supervisor"
	"celeryreach.example/celeryreach/tokens"
	"celeryreach.example/celeryreach/upstream"
)

const (
	// beatEvery is the time between two heartbeats to a partner. With three
	// other hosts in the region and two of each other one it costs a host some
	// 14 short calls a second, its own and its partners'.
	beatEvery = time.Second
	// hold is the silence after which a host is no longer named to callers: it
	// may miss two heartbeats.
	hold = 3 * time.Second
	// listEvery is how often the list of hosts is read once it is known; new
	// hosts announce themselves by heartbeats.
	listEvery = 20 * time.Second
	// dialTimeout bounds the opening of a connection to another host.
	dialTimeout = time.Second

	restartBackoff = 200 * time.Millisecond
	maxBackoff     = 5 * time.Second
)

// Edge is one entry host. The seams to the users' platform are set before Run.
type Edge struct {
	// Self describes this host.
	Self member.Member
	// Seeds are peer addresses to try before any host is known.
	Seeds []string
	// Clock is the host's monotonic clock.
	Clock clockwork.Clock
	// Log receives one line for each event.
	Log *log.Logger
	// Peers accepts the connections of other hosts.
	Peers net.Listener
	// Dial opens a connection to another host; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Config and Backends are the copies of the store's tables. Their Changed
	// is set by Edge.
	Config, Backends *mirror.Mirror
	// Decode reads the configuration, nil if there is none that holds, and the
	// failure domains that are evacuated.
	Decode func(rows map[string]row.Row) (*config.Config, map[string]bool)
	// DecodeBackends reads the backend servers.
	DecodeBackends func(rows map[string]row.Row) []backend.Backend
	// Announce puts this host on the store's list of hosts, Withdraw takes it
	// off, and Listed reads the list.
	Announce func(ctx context.Context, m member.Member) error
	Withdraw func(ctx context.Context, m member.Member) error
	Listed   func(ctx context.Context) ([]member.Member, error)
	// Upstream reaches backend servers.
	Upstream *upstream.Upstream
	// Limit returns the values of the header in which a backend server names how many
	// requests a second it takes from all hosts together.
	Limit func(h http.Header) []string
	// Gateway serves requests. Its Load is set before Run, the rest by Edge.
	Gateway *gateway.Gateway
	// Contact is how long after the end of a trouble a host must again know what
	// is in force.
	Contact time.Duration
	// Evacuate is how long after its evacuation a failure domain may still get requests.
	Evacuate time.Duration
	// ColdOverage and ColdSlack make the bound of a cold backend server's rate.
	ColdOverage, ColdSlack float64
	// LimitOverage, LimitSlack and LimitWindow make the bound of what a backend server
	// with a limit gets.
	LimitOverage, LimitSlack float64
	LimitWindow              time.Duration
	// RetryRatio and RetrySlack bound second tries over all hosts: so many for
	// each first one, and so many besides at any time.
	RetryRatio, RetrySlack float64

	book       atomic.Pointer[ingressbook.Ingressbook]
	leaving    atomic.Bool
	left       chan struct{} // closed by Leave
	listed     atomic.Bool
	membership *membership.Membership
	client     *peerclient.Peerclient
	tokens     *tokens.Tokens
	placement  *placement.Placement
	limits     *backendlimit.Backendlimit
	permits    *permits.Permits
	silence    *silence.Silence
	asking     *peerclient.Peerclient // for permits, so that heartbeats do not wait behind them
	discovery  *discovery.Discovery
	borrower   *borrower.Borrower
	copier     *copier.Copier
}

// Run works until ctx ends, and serves the branch of children that serve
// callers: it ends first.
func (e *Edge) Run(ctx context.Context, serving ...child.Child) error {
	e.assemble()
	s := &peerserver.Peerserver{
		Listener: e.Peers, OnBeat: e.membership.Receive, OnFetch: e.copier.Answer, OnBorrow: e.lend, OnLend: e.take,
		OnNotify: e.notified, OnForward: refuseForward, OnPermit: e.permits.Give,
	}
	defer e.client.Close()
	defer e.asking.Close()
	defer e.Upstream.Close()
	return e.supervise(
		e.branch("peers",
			child.Child{Name: "peerserver", Run: s.Run},
			child.Child{Name: "membership", Run: e.membership.Run},
			child.Child{Name: "tokens", Run: e.tokens.Run},
			child.Child{Name: "borrower", Run: e.borrower.Run},
			child.Child{Name: "copier", Run: e.copier.Run},
		),
		e.branch("store",
			child.Child{Name: "announce", Run: e.announce},
			child.Child{Name: "config", Run: e.Config.Run},
			child.Child{Name: "backends", Run: e.Backends.Run},
			child.Child{Name: "discovery", Run: e.discovery.Run},
			child.Child{Name: "silence", Run: e.silence.Run},
		),
		e.branch("serving", serving...),
	).Run(ctx)
}

// Leave makes this host go: others no longer name it to callers.
func (e *Edge) Leave() {
	if e.leaving.CompareAndSwap(false, true) {
		close(e.left)
	}
}

// Leaving reports whether Leave was called.
func (e *Edge) Leaving() bool {
	return e.leaving.Load()
}

// Ready reports whether this host can serve callers.
func (e *Edge) Ready() bool {
	return e.book.Load() != nil && e.listed.Load() && !e.leaving.Load()
}

// Book returns the configuration in force, nil before the first.
func (e *Edge) Book() *ingressbook.Ingressbook {
	return e.book.Load()
}

func (e *Edge) assemble() {
	e.left = make(chan struct{})
	e.client = &peerclient.Peerclient{Dial: e.Dial}
	if e.Dial == nil {
		e.client.Dial = dial
	}
	e.membership = &membership.Membership{
		Clock: e.Clock, Log: e.Log, Self: e.self, Seeds: e.Seeds, Listed: e.list(),
		Partners: partners.Partners, Interval: beatEvery, Hold: hold, Beat: e.client.Beat, Compose: e.compose, Heard: e.heard,
	}
	e.borrower = borrower.New()
	e.borrower.Clock, e.borrower.Self, e.borrower.Hosts = e.Clock, e.self, e.membership.Alive
	e.borrower.Log, e.borrower.Borrow, e.borrower.Bring = e.Log, e.client.Borrow, e.client.Lend
	e.tokens = &tokens.Tokens{Clock: e.Clock, Self: e.Self.Name, Hosts: e.hosts, Ask: e.borrower.Ask, Lend: e.borrower.Lend}
	e.borrower.Received, e.borrower.Asked = e.tokens.Receive, e.tokens.Asked
	e.limitBackends()
	e.holdUnheard()
	e.placement = &placement.Placement{
		Clock: e.Clock, Log: e.Log, Region: e.Self.Region, Far: far, Rate: e.rate, Limit: e.limits,
		Pace: &coldpace.Coldpace{Self: e.Self.Name, Hosts: e.membership.Known, Overage: e.ColdOverage, Slack: e.ColdSlack},
	}
	e.discovery = &discovery.Discovery{
		Clock: e.Clock, Log: e.Log, WarmUp: e.warmUp, Changed: e.placement.Set,
	}
	e.copier = copier.New()
	e.copier.Clock, e.copier.Log, e.copier.Fetch = e.Clock, e.Log, e.client.Fetch
	e.copier.Mirrors = []*mirror.Mirror{e.Config, e.Backends}
	e.watchStore()
	e.Config.Changed = e.configured
	e.Backends.Changed = func(m map[string]row.Row, doubt time.Time) { e.discovery.Backends(e.DecodeBackends(m), doubt) }
	g := e.Gateway
	g.Clock, g.Log, g.Book, g.Tokens, g.Placement = e.Clock, e.Log, e.book.Load, e.tokens, e.placement
	g.StoreAge = func() (time.Duration, bool) { return storeAge(e.Config) }
	g.Permit = e.permit
	g.Dispatch = e.dispatch().Serve
	g.Latency = &latency.Latency{Name: "Latency"}
	g.Latency.Publish()
	e.publish()
	g.Counted = (&counter.Counter{Prefix: "Requests."}).Add
}

func (e *Edge) dispatch() *dispatch.Dispatch {
	return &dispatch.Dispatch{
		Clock: e.Clock, Place: e.Gateway.Place, Keep: true, Valid: e.Gateway.Valid, Confirm: confirm,
		Upstream: e.Upstream, Hedge: newHedge(), Whole: newWhole(e.Clock),
		Budget: &budget.Budget{Ratio: func() float64 { return e.RetryRatio * budgetPart }, Limit: e.retries},
	}
}

func (e *Edge) supervise(c ...child.Child) *supervisor.Supervisor {
	return &supervisor.Supervisor{Clock: e.Clock, Log: e.Log, Backoff: restartBackoff, MaxBackoff: maxBackoff, Children: c}
}

func (e *Edge) branch(name string, c ...child.Child) child.Child {
	return child.Child{Name: name, Run: e.supervise(c...).Run}
}
