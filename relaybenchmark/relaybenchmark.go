// Package relaybenchmark counts the rounds, messages and bytes needed to distribute
// one version in a large fleet. It uses the real relay and replaces the network
// by function calls.
package relaybenchmark

import (
	"context"
	"fmt"
	"io"
	"sort"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"celeryreach.example/celeryreach/acceptedversion"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/relay"
	"celeryreach.example/celeryreach/replica"
	"celeryreach.example/celeryreach/wire"
)

const maxRounds = 50

// Relaybenchmark builds a fleet in which the peers of each host are the other hosts of
// its site. The first host of a site also has the first hosts of the other sites of its
// failure domain as peers. The first host of a failure domain also has the first hosts
// of the other failure domains as peers.
type Relaybenchmark struct {
	// Out receives the results.
	Out io.Writer
	// Hosts, Sites and Domains are the numbers of hosts, sites and failure
	// domains in the fleet.
	Hosts, Sites, Domains int
	// Content is the size of the configuration in bytes.
	Content int

	nodes []*node
	byID  map[string]*node

	mu          sync.Mutex
	messages    int
	bytes       int
	bytesByHost map[string]int
	notified    map[string]bool
}

type node struct {
	self    member.Member
	peers   []member.Member
	relay   *relay.Relay
	replica *replica.Replica
}

// Run distributes two versions, the second one by deltas, and prints the costs.
func (t *Relaybenchmark) Run(ctx context.Context) error {
	t.build()
	var b []byte
	for i := 0; len(b) < t.Content; i++ {
		b = fmt.Appendf(b, `{"Name":"account-%d","Rate":10,"Burst":5}`, i)
	}
	if err := t.distribute(ctx, 1, b); err != nil {
		return err
	}
	c := append([]byte(nil), b...)
	c[len(c)/2] = 'x'
	return t.distribute(ctx, 2, c)
}

func (t *Relaybenchmark) distribute(ctx context.Context, version uint64, content []byte) error {
	t.messages = 0
	t.bytes = 0
	t.notified = make(map[string]bool)
	t.bytesByHost = make(map[string]int)
	n := t.nodes[len(t.nodes)/2]
	if err := n.replica.Offer(version, acceptedversion.Hash(content), content); err != nil {
		return err
	}
	r := 0
	for ; t.countBehind(version) > 0; r++ {
		if r == maxRounds {
			return errors.Errorf("%d hosts lack version %d after %d rounds", t.countBehind(version), version, r)
		}
		t.runRound(ctx, version)
	}
	m := 0
	for _, k := range t.bytesByHost {
		m = max(m, k)
	}
	fmt.Fprintf(t.Out, "%d hosts, version %d of %d bytes: %d rounds, %d messages, %d bytes a host on average, %d at the busiest\n",
		len(t.nodes), version, len(content), r, t.messages, t.bytes/len(t.nodes), m)
	return nil
}

// runRound runs one round. First, the hosts that have the version send notices. Then
// the hosts that have received a notice fetch the version. Hosts that are notified
// during these fetches have to wait for the next round.
func (t *Relaybenchmark) runRound(ctx context.Context, version uint64) {
	for _, x := range t.nodesWith(version, true) {
		x.relay.Sync(ctx)
	}
	var h []*node
	for _, x := range t.nodesWith(version, false) {
		if t.notified[x.self.Name] {
			h = append(h, x)
		}
	}
	for _, x := range h {
		x.relay.Sync(ctx)
	}
}

// nodesWith returns the hosts that have a version, or those that lack it.
func (t *Relaybenchmark) nodesWith(version uint64, has bool) []*node {
	var r []*node
	for _, x := range t.nodes {
		if (x.replica.CurrentVersion().Version >= version) == has {
			r = append(r, x)
		}
	}
	return r
}

func (t *Relaybenchmark) countBehind(version uint64) int {
	return len(t.nodesWith(version, false))
}

func (t *Relaybenchmark) build() {
	t.byID = make(map[string]*node)
	c := clockwork.NewFakeClock()
	l := log.New(io.Discard)
	for i := range t.Hosts {
		s := i * t.Sites / t.Hosts
		d := s * t.Domains / t.Sites
		m := member.Member{Name: fmt.Sprintf("host-%04d", i), Domain: fmt.Sprintf("domain-%02d", d), Region: fmt.Sprintf("site-%03d", s)}
		m.PeerAddress = m.Name
		n := &node{self: m}
		n.replica = &replica.Replica{Kind: "Config", Log: l, Apply: func(uint64, string, []byte) error { return nil }}
		n.relay = &relay.Relay{
			Clock: c, Log: l, Self: func() member.Member { return n.self }, Peers: func() []member.Member { return n.peers },
			Replicas: []*replica.Replica{n.replica}, Fanout: 16, Timeout: time.Second, RetryDelay: time.Second,
			Fetch: func(_ context.Context, to string, f *wire.FetchRequest) (*wire.FetchResponse, error) {
				return t.fetch(n, to, f)
			},
			Notify: func(_ context.Context, to string, m *wire.Notice) (*wire.Notice, error) { return t.notify(n, to, m) },
		}
		t.nodes = append(t.nodes, n)
		t.byID[m.Name] = n
	}
	t.connect()
}

// connect sets the peers of each host.
func (t *Relaybenchmark) connect() {
	s := make(map[string][]*node)
	d := make(map[string][]*node)
	var f []*node
	for _, n := range t.nodes {
		if len(s[n.self.Region]) == 0 {
			if len(d[n.self.Domain]) == 0 {
				f = append(f, n)
			}
			d[n.self.Domain] = append(d[n.self.Domain], n)
		}
		s[n.self.Region] = append(s[n.self.Region], n)
	}
	for _, g := range []map[string][]*node{s, d, {"": f}} {
		k := make([]string, 0, len(g))
		for n := range g {
			k = append(k, n)
		}
		sort.Strings(k)
		for _, n := range k {
			for _, a := range g[n] {
				a.addPeers(g[n])
			}
		}
	}
}

func (n *node) addPeers(g []*node) {
	for _, o := range g {
		if o != n {
			n.peers = append(n.peers, o.self)
		}
	}
}

func (t *Relaybenchmark) fetch(n *node, to string, f *wire.FetchRequest) (*wire.FetchResponse, error) {
	a := t.byID[to].relay.Answer(f)
	t.countMessage(n.self.Name, to, f, a)
	return a, nil
}

func (t *Relaybenchmark) notify(n *node, to string, m *wire.Notice) (*wire.Notice, error) {
	a := t.byID[to].relay.Receive(m)
	t.countMessage(n.self.Name, to, m, a)
	return a, nil
}

func (t *Relaybenchmark) countMessage(a, b string, q, r proto.Message) {
	z := proto.Size(q) + proto.Size(r)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.messages++
	t.bytes += 2 * z // counted at the sender and at the receiver
	t.bytesByHost[a] += z
	t.bytesByHost[b] += z
	if _, ok := q.(*wire.Notice); ok {
		t.notified[b] = true
	}
}
