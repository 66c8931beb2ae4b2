// Package relaytrial counts the rounds, messages and bytes that one version
// takes through a large fleet, with the real relay and a network of function
// calls.
package relaytrial

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

	"celeryreach.example/celeryreach/accepted"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/relay"
	"celeryreach.example/celeryreach/replica"
	"celeryreach.example/celeryreach/wire"
)

const maxRounds = 50

// Relaytrial builds a fleet whose hosts know the hosts of their site; the
// first host of a site knows those of the other sites of its failure domain,
// and the first host of a failure domain knows those of the other domains.
type Relaytrial struct {
	// Out receives the figures.
	Out io.Writer
	// Hosts, Sites and Domains are the fleet's sizes.
	Hosts, Sites, Domains int
	// Content is the size of the configuration in bytes.
	Content int

	nodes []*node
	byID  map[string]*node

	mu       sync.Mutex
	messages int
	bytes    int
	busiest  map[string]int
	told     map[string]bool
}

type node struct {
	self  member.Member
	peers []member.Member
	relay *relay.Relay
	held  *replica.Replica
}

// Run relays two versions, the second by deltas, and prints what it took.
func (t *Relaytrial) Run(ctx context.Context) error {
	t.build()
	var b []byte
	for i := 0; len(b) < t.Content; i++ {
		b = fmt.Appendf(b, `{"Name":"account-%d","Rate":10,"Burst":5}`, i)
	}
	if err := t.spread(ctx, 1, b); err != nil {
		return err
	}
	c := append([]byte(nil), b...)
	c[len(c)/2] = 'x'
	return t.spread(ctx, 2, c)
}

func (t *Relaytrial) spread(ctx context.Context, version uint64, content []byte) error {
	t.messages = 0
	t.bytes = 0
	t.told = make(map[string]bool)
	t.busiest = make(map[string]int)
	n := t.nodes[len(t.nodes)/2]
	if err := n.held.Offer(version, accepted.Hash(content), content); err != nil {
		return err
	}
	r := 0
	for ; t.behind(version) > 0; r++ {
		if r == maxRounds {
			return errors.Errorf("%d hosts lack version %d after %d rounds", t.behind(version), version, r)
		}
		t.round(ctx, version)
	}
	m := 0
	for _, k := range t.busiest {
		m = max(m, k)
	}
	fmt.Fprintf(t.Out, "%d hosts, version %d of %d bytes: %d rounds, %d messages, %d bytes a host on average, %d at the busiest\n",
		len(t.nodes), version, len(content), r, t.messages, t.bytes/len(t.nodes), m)
	return nil
}

// round lets the hosts that have the version tell of it, and then those that
// had been told before the round's fetches fetch: one notice and one fetch.
func (t *Relaytrial) round(ctx context.Context, version uint64) {
	for _, x := range t.with(version, true) {
		x.relay.Pass(ctx)
	}
	var h []*node
	for _, x := range t.with(version, false) {
		if t.told[x.self.Name] {
			h = append(h, x)
		}
	}
	for _, x := range h {
		x.relay.Pass(ctx)
	}
}

// with returns the hosts that have a version, or those that lack it.
func (t *Relaytrial) with(version uint64, has bool) []*node {
	var r []*node
	for _, x := range t.nodes {
		if (x.held.Digest().Version >= version) == has {
			r = append(r, x)
		}
	}
	return r
}

func (t *Relaytrial) behind(version uint64) int {
	return len(t.with(version, false))
}

func (t *Relaytrial) build() {
	t.byID = make(map[string]*node)
	c := clockwork.NewFakeClock()
	l := log.New(io.Discard)
	for i := range t.Hosts {
		s := i * t.Sites / t.Hosts
		d := s * t.Domains / t.Sites
		m := member.Member{Name: fmt.Sprintf("host-%04d", i), Domain: fmt.Sprintf("domain-%02d", d), Region: fmt.Sprintf("site-%03d", s)}
		m.PeerAddress = m.Name
		n := &node{self: m}
		n.held = &replica.Replica{Kind: "Config", Log: l, Apply: func(uint64, string, []byte) error { return nil }}
		n.relay = &relay.Relay{
			Clock: c, Log: l, Self: func() member.Member { return n.self }, Peers: func() []member.Member { return n.peers },
			Replicas: []*replica.Replica{n.held}, Fanout: 16, Timeout: time.Second, Retry: time.Second,
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

// connect gives each host its peers.
func (t *Relaytrial) connect() {
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
				a.join(g[n])
			}
		}
	}
}

func (n *node) join(g []*node) {
	for _, o := range g {
		if o != n {
			n.peers = append(n.peers, o.self)
		}
	}
}

func (t *Relaytrial) fetch(n *node, to string, f *wire.FetchRequest) (*wire.FetchResponse, error) {
	a := t.byID[to].relay.Answer(f)
	t.count(n.self.Name, to, f, a)
	return a, nil
}

func (t *Relaytrial) notify(n *node, to string, m *wire.Notice) (*wire.Notice, error) {
	a := t.byID[to].relay.Receive(m)
	t.count(n.self.Name, to, m, a)
	return a, nil
}

func (t *Relaytrial) count(a, b string, q, r proto.Message) {
	z := proto.Size(q) + proto.Size(r)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.messages++
	t.bytes += 2 * z // once sent, once received
	t.busiest[a] += z
	t.busiest[b] += z
	if _, ok := q.(*wire.Notice); ok {
		t.told[b] = true
	}
}
