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

	"celeryreach.example/celeryreach/accepted"
	"celeryreach.example/celeryreach/change"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/commit"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/follower"
	"celeryreach.example/celeryreach/freshness"
	"celeryreach.example/celeryreach/lease"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/plan"
	"celeryreach.example/celeryreach/planfollower"
	"celeryreach.example/celeryreach/publish"
	"celeryreach.example/celeryreach/relay"
	"celeryreach.example/celeryreach/replica"
	"celeryreach.example/celeryreach/row"
	"celeryreach.example/celeryreach/store"
	"celeryreach.example/celeryreach/table"
	"celeryreach.example/celeryreach/wire"
)

const (
	platformName = "platform"
	hold         = 3 * time.Second
	beat         = 200 * time.Millisecond
)

var errCut = errors.New("cut")

// world is a set of hosts in one process, with a network that can be cut in
// one direction and a platform that can be down or lose its answers.
type world struct {
	clock   *clockwork.FakeClock
	table   *table.Table
	objects map[string][]byte
	hosts   map[string]*node
	cuts    map[[2]string]bool
	down    bool
	lose    int
	torn    map[string]bool
	out     bytes.Buffer
	next    func() // runs between a lost answer and the reading back
}

// node is one host: what it has and what it has heard.
type node struct {
	world     *world
	self      member.Member
	follower  *follower.Follower
	relay     *relay.Relay
	freshness *freshness.Freshness
	plans     *planfollower.Planfollower
	lease     *lease.Lease
	ended     context.CancelFunc // ends the lease's loop after one step
	heard     map[string]time.Time
	keeps     bool // takes whatever comes last: the broken variant
}

func newWorld() *world {
	return &world{
		clock: clockwork.NewFakeClock(), table: new(table.Table), objects: make(map[string][]byte),
		hosts: make(map[string]*node), cuts: make(map[[2]string]bool), torn: make(map[string]bool),
	}
}

// start adds a host or replaces the process of that name.
func (w *world) start(name, domain, region string) *node {
	n := &node{
		world: w, self: member.Member{Name: name, Domain: domain, Region: region, PeerAddress: name, CallerAddress: name},
		freshness: &freshness.Freshness{Clock: w.clock}, heard: make(map[string]time.Time),
	}
	l := log.New(io.Discard)
	n.follower = &follower.Follower{Clock: w.clock, Log: l, Platform: w.platform(name)}
	n.plans = &planfollower.Planfollower{Clock: w.clock, Log: l, Platform: w.platform(name)}
	n.lease = &lease.Lease{
		Clock: once{FakeClock: w.clock, node: n}, Platform: w.platform(name), Name: "lease/planner",
		Holder: fmt.Sprint(name, len(w.objects)), Term: 15 * time.Second,
	}
	n.relay = &relay.Relay{
		Clock: w.clock, Log: l, Self: func() member.Member { return n.self }, Peers: n.alive,
		Replicas: []*replica.Replica{n.follower.Replica(), n.plans.Replica()},
		Fetch:    n.fetch, Notify: n.notify, Fanout: 16, Timeout: time.Second, Retry: time.Second,
	}
	w.hosts[name] = n
	return n
}

func (w *world) names() []string {
	var r []string
	for n := range w.hosts {
		r = append(r, n)
	}
	sort.Strings(r)
	return r
}

// members expands a host, a failure domain or a region to hosts.
func (w *world) members(s string) []string {
	if s == platformName {
		return []string{platformName}
	}
	var r []string
	for _, n := range w.names() {
		m := w.hosts[n].self
		if s == n || s == m.Domain || s == m.Region {
			r = append(r, n)
		}
	}
	return r
}

// cut loses what a sends to b.
func (w *world) cut(a, b string) {
	for _, x := range w.members(a) {
		for _, y := range w.members(b) {
			w.cuts[[2]string{x, y}] = true
		}
	}
}

// call runs f at the called side unless the way there is cut, and loses the
// answer if the way back is.
func (w *world) call(a, b string, f func()) error {
	if w.cuts[[2]string{a, b}] {
		return errCut
	}
	if b != platformName && w.hosts[b] == nil {
		return errCut
	}
	f()
	if w.cuts[[2]string{b, a}] {
		return errCut
	}
	return nil
}

func (w *world) platform(name string) store.Store {
	call := func(f func()) error {
		if w.down {
			return errCut
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
			if w.lose > 0 {
				w.lose--
				if f := w.next; f != nil {
					w.next = nil
					f()
				}
				return false, errCut
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
			if w.torn[platformName] && len(b) > 0 {
				b = b[:len(b)/2]
			}
			return b, nil
		},
	}
}

// round lets every host beat to every other one and then relay, in order.
func (w *world) round() {
	w.clock.Advance(beat)
	for _, a := range w.names() {
		for _, b := range w.names() {
			if a != b {
				w.hosts[a].beat(w.hosts[b])
			}
		}
	}
	for _, a := range w.names() {
		w.hosts[a].relay.Pass(context.Background())
	}
}

func (n *node) beat(o *node) {
	var a *wire.Heartbeat
	err := n.world.call(n.self.Name, o.self.Name, func() {
		o.receive(n.compose())
		a = o.compose()
	})
	if err == nil {
		n.receive(a)
	}
}

func (n *node) compose() *wire.Heartbeat {
	m := n.self
	return &wire.Heartbeat{
		From:     &wire.Host{Name: m.Name, Domain: m.Domain, Region: m.Region, PeerAddress: m.PeerAddress},
		Versions: []*wire.Version{n.follower.Replica().Digest(), n.plans.Replica().Digest()}, KeyAgeNanoseconds: n.freshness.Own(),
	}
}

func (n *node) receive(h *wire.Heartbeat) {
	n.heard[h.From.Name] = n.world.clock.Now()
	if h.From.Domain == n.self.Domain {
		n.freshness.Heard(h.KeyAgeNanoseconds)
	} else {
		n.freshness.Seen()
	}
	n.relay.Heard(h.From.Name, h.Versions)
	if n.keeps {
		n.overwrite(h.From.Name, h.Versions[0])
	}
}

func (n *node) alive() []member.Member {
	var r []member.Member
	for _, k := range n.world.names() {
		t, ok := n.heard[k]
		if ok && n.world.clock.Since(t) <= hold {
			r = append(r, n.world.hosts[k].self)
		}
	}
	return r
}

func (n *node) fetch(_ context.Context, to string, f *wire.FetchRequest) (a *wire.FetchResponse, err error) {
	err = n.world.call(n.self.Name, to, func() { a = n.world.hosts[to].relay.Answer(f) })
	if err == nil && n.world.torn[to] && len(a.Content) > 0 {
		a = &wire.FetchResponse{Version: a.Version, Hash: a.Hash, Total: a.Total / 2, Content: a.Content[:a.Total/2]}
	}
	return a, err
}

func (n *node) notify(_ context.Context, to string, m *wire.Notice) (a *wire.Notice, err error) {
	err = n.world.call(n.self.Name, to, func() { a = n.world.hosts[to].relay.Receive(m) })
	return a, err
}

// poll reads the platform.
func (n *node) poll() error {
	err := n.follower.Replica().Poll(context.Background())
	if err == nil {
		n.freshness.Seen()
	}
	return err
}

// commit makes a change from the version that the host has.
func (n *node) commit(from uint64, edit func(c *config.Config)) (accepted.Accepted, bool, error) {
	k := &change.Change{
		Platform: n.world.platform(n.self.Name), Clock: instant{n.world.clock},
		Accepted: func(a accepted.Accepted, b []byte) { _ = n.follower.Offer(a.Version, a.Hash, b) },
	}
	var c config.Config
	if s := n.follower.Snapshot(); s != nil {
		c = *s.Config
	}
	edit(&c)
	return k.Commit(context.Background(), from, c)
}

func (n *node) version() uint64 {
	return n.follower.Replica().Digest().Version
}

// stepLease lets the lease renew or take the row once.
func (n *node) stepLease() {
	c, f := context.WithCancel(context.Background())
	n.ended = f
	_ = n.lease.Run(c)
}

// publish makes a plan the accepted one on condition of the lease.
func (n *node) publish(epoch uint64, reason string) (accepted.Accepted, bool, error) {
	var v uint64
	if p := n.plans.Plan(); p != nil {
		v = p.Version
	}
	b, err := codec.Marshal(plan.Plan{Version: v + 1, Epoch: epoch, Reason: reason})
	if err != nil {
		return accepted.Accepted{}, false, err
	}
	p := &publish.Publish{Clock: instant{n.world.clock}, Platform: n.world.platform(n.self.Name), Key: accepted.PlanKey, Fence: n.lease.Fence}
	a, ok, err := p.Commit(context.Background(), v, b)
	if ok {
		err = n.plans.Replica().Offer(a.Version, a.Hash, b)
	}
	return a, ok, err
}

// once is a clock whose first wait ends a loop.
type once struct {
	*clockwork.FakeClock

	node *node
}

// After ends the loop that waits.
func (o once) After(time.Duration) <-chan time.Time {
	o.node.ended()
	return nil
}

// instant is a clock whose waits are over at once.
type instant struct{ *clockwork.FakeClock }

// After returns a channel that has already fired.
func (i instant) After(time.Duration) <-chan time.Time {
	c := make(chan time.Time, 1)
	c <- i.Now()
	return c
}
