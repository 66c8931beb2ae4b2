package separation_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"slices"
	"sort"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/acceptedversion"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/commit"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/configcommit"
	"celeryreach.example/celeryreach/configfollower"
	"celeryreach.example/celeryreach/freshness"
	"celeryreach.example/celeryreach/lease"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/memorytable"
	"celeryreach.example/celeryreach/plan"
	"celeryreach.example/celeryreach/planfollower"
	"celeryreach.example/celeryreach/publish"
	"celeryreach.example/celeryreach/relay"
	"celeryreach.example/celeryreach/replica"
	"celeryreach.example/celeryreach/row"
	"celeryreach.example/celeryreach/store"
	"celeryreach.example/celeryreach/wire"
)

const (
	platformName      = "platform"
	holdTime          = 3 * time.Second
	heartbeatInterval = 200 * time.Millisecond
)

var errUnreachable = errors.New("cut")

// cluster simulates a set of hosts, the network between them and the platform in one
// process. Network links can fail in one direction, and the platform can be down,
// lose its answers or truncate contents.
type cluster struct {
	clock        *clockwork.FakeClock
	table        *memorytable.Memorytable
	objects      map[string][]byte
	hosts        map[string]*testHost
	blocked      map[[2]string]bool // links, by sender and receiver
	storeDown    bool
	loseAnswers  int             // number of commits whose answer is lost
	truncated    map[string]bool // the platform or hosts that return half of a content
	output       bytes.Buffer
	onLostAnswer func() // runs after an answer is lost, before the row is read back
}

// testHost is one host: its replicated contents and the state received from others.
type testHost struct {
	cluster        *cluster
	self           member.Member
	configFollower *configfollower.Configfollower
	relay          *relay.Relay
	freshness      *freshness.Freshness
	plans          *planfollower.Planfollower
	lease          *lease.Lease
	cancelLease    context.CancelFunc   // ends the lease's loop at its first wait
	lastReceived   map[string]time.Time // last heartbeat, by host
	acceptsAny     bool                 // faulty variant: adopts any version that it receives
}

func newCluster() *cluster {
	return &cluster{
		clock: clockwork.NewFakeClock(), table: new(memorytable.Memorytable), objects: make(map[string][]byte),
		hosts: make(map[string]*testHost), blocked: make(map[[2]string]bool), truncated: make(map[string]bool),
	}
}

// startHost adds a host, or replaces the process of the host with that name.
func (w *cluster) startHost(name, domain, region string) *testHost {
	n := &testHost{
		cluster: w, self: member.Member{Name: name, Domain: domain, Region: region, PeerAddress: name, CallerAddress: name},
		freshness: &freshness.Freshness{Clock: w.clock}, lastReceived: make(map[string]time.Time),
	}
	l := log.New(io.Discard)
	n.configFollower = &configfollower.Configfollower{Clock: w.clock, Log: l, Store: w.platform(name)}
	n.plans = &planfollower.Planfollower{Clock: w.clock, Log: l, Store: w.platform(name)}
	n.lease = &lease.Lease{
		Clock: singleWaitClock{FakeClock: w.clock, host: n}, Store: w.platform(name), Name: "lease/planner",
		Holder: fmt.Sprint(name, len(w.objects)), Term: 15 * time.Second,
	}
	n.relay = &relay.Relay{
		Clock: w.clock, Log: l, Self: func() member.Member { return n.self }, Peers: n.alive,
		Replicas: []*replica.Replica{n.configFollower.Replica(), n.plans.Replica()},
		Fetch:    n.fetch, Notify: n.notify, Fanout: 16, Timeout: time.Second, RetryDelay: time.Second,
	}
	w.hosts[name] = n
	return n
}

func (w *cluster) hostNames() []string {
	var r []string
	for n := range w.hosts {
		r = append(r, n)
	}
	sort.Strings(r)
	return r
}

// hostsIn returns the hosts that a host, failure domain or region name stands for. The
// platform stands for itself.
func (w *cluster) hostsIn(s string) []string {
	if s == platformName {
		return []string{platformName}
	}
	var r []string
	for _, n := range w.hostNames() {
		m := w.hosts[n].self
		if s == n || s == m.Domain || s == m.Region {
			r = append(r, n)
		}
	}
	return r
}

// block drops all messages from a to b.
func (w *cluster) block(a, b string) {
	for _, x := range w.hostsIn(a) {
		for _, y := range w.hostsIn(b) {
			w.blocked[[2]string{x, y}] = true
		}
	}
}

// call simulates a call from a to b that runs f on b. If the link from a to b is
// blocked, the call fails and f does not run. If the link from b to a is blocked, f
// runs but its answer is lost, so the call fails too.
func (w *cluster) call(a, b string, f func()) error {
	if w.blocked[[2]string{a, b}] {
		return errUnreachable
	}
	if b != platformName && w.hosts[b] == nil {
		return errUnreachable
	}
	f()
	if w.blocked[[2]string{b, a}] {
		return errUnreachable
	}
	return nil
}

// platform returns the store as seen by the named host: calls fail while the store is
// down or the link between the host and the platform is blocked.
func (w *cluster) platform(name string) store.Store {
	call := func(f func()) error {
		if w.storeDown {
			return errUnreachable
		}
		return w.call(name, platformName, f)
	}
	return store.Store{
		Read: func(_ context.Context, k string) (r row.Row, err error) {
			err = call(func() { r = w.table.Read(k) })
			return r, err
		},
		Commit: func(_ context.Context, c commit.Commit) (ok bool, err error) {
			err = call(func() { ok = w.table.Commit(c) })
			if w.loseAnswers > 0 {
				w.loseAnswers--
				if f := w.onLostAnswer; f != nil {
					w.onLostAnswer = nil
					f()
				}
				return false, errUnreachable
			}
			return ok, err
		},
		PutObject: func(_ context.Context, k string, b []byte) error {
			return call(func() { w.objects[k] = b })
		},
		GetObject: func(_ context.Context, k string) (b []byte, err error) {
			if err := call(func() { b = slices.Clone(w.objects[k]) }); err != nil {
				return nil, err
			}
			if w.truncated[platformName] && len(b) > 0 {
				b = b[:len(b)/2]
			}
			return b, nil
		},
	}
}

// runRound advances the clock by one heartbeat interval. In the order of their names,
// the hosts then exchange heartbeats with every other host and relay new versions.
func (w *cluster) runRound() {
	w.clock.Advance(heartbeatInterval)
	for _, a := range w.hostNames() {
		for _, b := range w.hostNames() {
			if a != b {
				w.hosts[a].sendHeartbeat(w.hosts[b])
			}
		}
	}
	for _, a := range w.hostNames() {
		w.hosts[a].relay.Sync(context.Background())
	}
}

func (n *testHost) sendHeartbeat(o *testHost) {
	var a *wire.Heartbeat
	err := n.cluster.call(n.self.Name, o.self.Name, func() {
		o.receive(n.compose())
		a = o.compose()
	})
	if err == nil {
		n.receive(a)
	}
}

func (n *testHost) compose() *wire.Heartbeat {
	m := n.self
	return &wire.Heartbeat{
		From:     &wire.Host{Name: m.Name, Domain: m.Domain, Region: m.Region, PeerAddress: m.PeerAddress},
		Versions: []*wire.Version{n.configFollower.Replica().CurrentVersion(), n.plans.Replica().CurrentVersion()}, KeyAgeNanoseconds: n.freshness.OwnAge(),
	}
}

func (n *testHost) receive(h *wire.Heartbeat) {
	n.lastReceived[h.From.Name] = n.cluster.clock.Now()
	if h.From.Domain == n.self.Domain {
		n.freshness.RecordRemoteAge(h.KeyAgeNanoseconds)
	} else {
		n.freshness.RecordContact()
	}
	n.relay.RecordVersions(h.From.Name, h.Versions)
	if n.acceptsAny {
		n.adoptContent(h.From.Name, h.Versions[0])
	}
}

// alive returns the hosts from which a heartbeat arrived within holdTime.
func (n *testHost) alive() []member.Member {
	var r []member.Member
	for _, k := range n.cluster.hostNames() {
		t, ok := n.lastReceived[k]
		if ok && n.cluster.clock.Since(t) <= holdTime {
			r = append(r, n.cluster.hosts[k].self)
		}
	}
	return r
}

func (n *testHost) fetch(_ context.Context, to string, f *wire.FetchRequest) (a *wire.FetchResponse, err error) {
	err = n.cluster.call(n.self.Name, to, func() { a = n.cluster.hosts[to].relay.Answer(f) })
	if err == nil && n.cluster.truncated[to] && len(a.Content) > 0 {
		a = &wire.FetchResponse{Version: a.Version, Hash: a.Hash, Total: a.Total / 2, Content: a.Content[:a.Total/2]}
	}
	return a, err
}

func (n *testHost) notify(_ context.Context, to string, m *wire.Notice) (a *wire.Notice, err error) {
	err = n.cluster.call(n.self.Name, to, func() { a = n.cluster.hosts[to].relay.Receive(m) })
	return a, err
}

// poll reads the accepted configuration version from the platform.
func (n *testHost) poll() error {
	err := n.configFollower.Replica().Poll(context.Background())
	if err == nil {
		n.freshness.RecordContact()
	}
	return err
}

// commit edits the host's current configuration and commits the result as the
// successor of version from.
func (n *testHost) commit(from uint64, edit func(c *config.Config)) (acceptedversion.Acceptedversion, bool, error) {
	k := &configcommit.Configcommit{
		Store: n.cluster.platform(n.self.Name), Clock: instantClock{n.cluster.clock},
		OnAccepted: func(a acceptedversion.Acceptedversion, b []byte) { _ = n.configFollower.Offer(a.Version, a.Hash, b) },
	}
	var c config.Config
	if s := n.configFollower.Snapshot(); s != nil {
		c = *s.Config
	}
	edit(&c)
	return k.Commit(context.Background(), from, c)
}

func (n *testHost) version() uint64 {
	return n.configFollower.Replica().CurrentVersion().Version
}

// stepLease makes the lease renew or acquire its row once.
func (n *testHost) stepLease() {
	c, f := context.WithCancel(context.Background())
	n.cancelLease = f
	_ = n.lease.Run(c)
}

// publish commits a plan on the condition that the lease's fence still holds.
func (n *testHost) publish(epoch uint64, reason string) (acceptedversion.Acceptedversion, bool, error) {
	var v uint64
	if p := n.plans.Plan(); p != nil {
		v = p.Version
	}
	b, err := codec.Marshal(plan.Plan{Version: v + 1, Epoch: epoch, Reason: reason})
	if err != nil {
		return acceptedversion.Acceptedversion{}, false, err
	}
	p := &publish.Publish{Clock: instantClock{n.cluster.clock}, Store: n.cluster.platform(n.self.Name), Key: acceptedversion.PlanKey, Fence: n.lease.Fence}
	a, ok, err := p.Commit(context.Background(), v, b)
	if ok {
		err = n.plans.Replica().Offer(a.Version, a.Hash, b)
	}
	return a, ok, err
}

// singleWaitClock is a clock that ends the host's lease loop when the loop first waits.
type singleWaitClock struct {
	*clockwork.FakeClock

	host *testHost
}

// After cancels the waiting loop.
func (o singleWaitClock) After(time.Duration) <-chan time.Time {
	o.host.cancelLease()
	return nil
}

// instantClock is a clock whose waits end immediately.
type instantClock struct{ *clockwork.FakeClock }

// After returns a channel that already holds a value.
func (i instantClock) After(time.Duration) <-chan time.Time {
	c := make(chan time.Time, 1)
	c <- i.Now()
	return c
}
