// Package relay passes new versions from host to host, so that every version
// reaches every host in seconds though few hosts read the platform, and also
// where the platform cannot be reached.
package relay

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/rendezvous"
	"celeryreach.example/celeryreach/replica"
	"celeryreach.example/celeryreach/wire"
)

// askPeers is how many peers are asked for a part before the platform is.
const askPeers = 3

// Relay compares the versions that peers tell of with the own ones, fetches
// what is newer, and tells peers that are behind.
type Relay struct {
	// Clock paces retries.
	Clock clockwork.Clock
	// Log receives one line for each failed fetch.
	Log *log.Logger
	// Self describes this host.
	Self func() member.Member
	// Peers returns the hosts that are alive, without this one.
	Peers func() []member.Member
	// Replicas are the contents that are relayed.
	Replicas []*replica.Replica
	// Object returns a part of a content by its hash, nil if this host does not
	// have it; nil when no content has parts.
	Object func(kind, hash string) []byte
	// Fetch asks a peer for newer content.
	Fetch func(ctx context.Context, address string, f *wire.FetchRequest) (*wire.FetchResponse, error)
	// Notify tells a peer of new versions and returns the peer's.
	Notify func(ctx context.Context, address string, n *wire.Notice) (*wire.Notice, error)
	// Fanout is the greatest number of peers told at the same time.
	Fanout int
	// Timeout bounds each call.
	Timeout time.Duration
	// Retry is how long a peer is left alone after a failed fetch.
	Retry time.Duration

	mu        sync.Mutex
	seen      map[string]map[string]*wire.Version // by peer and kind
	until     map[string]time.Time
	wakeFetch chan struct{}
	wakeTell  chan struct{}
}

// Heard notes the versions that a peer tells of.
func (r *Relay) Heard(from string, v []*wire.Version) {
	r.mu.Lock()
	if r.seen == nil {
		r.seen = make(map[string]map[string]*wire.Version)
	}
	m := r.seen[from]
	if m == nil {
		m = make(map[string]*wire.Version)
		r.seen[from] = m
	}
	for _, x := range v {
		m[x.Kind] = x
	}
	r.mu.Unlock()
	for _, p := range r.Replicas {
		for _, x := range v {
			if x.Kind == p.Kind && p.Compare(x, from) {
				r.Wake()
			}
		}
	}
}

// Receive answers a peer's notice.
func (r *Relay) Receive(n *wire.Notice) *wire.Notice {
	if n.GetFrom() != nil {
		r.Heard(n.From.Name, n.Versions)
	}
	return &wire.Notice{Versions: r.versions()}
}

// Answer answers a peer's question for newer content.
func (r *Relay) Answer(f *wire.FetchRequest) *wire.FetchResponse {
	for _, p := range r.Replicas {
		if p.Kind == f.Kind {
			return p.Answer(f)
		}
	}
	if r.Object != nil && f.Hash != "" {
		return &wire.FetchResponse{Hash: f.Hash, Content: r.Object(f.Kind, f.Hash)}
	}
	return &wire.FetchResponse{}
}

// Ask returns a part of a content from a peer that has a higher version of it.
// The caller checks the hash.
func (r *Relay) Ask(ctx context.Context, p *replica.Replica, kind, hash string) ([]byte, error) {
	a := r.ahead(p)
	for _, m := range a[:min(len(a), askPeers)] {
		x, f := context.WithTimeout(ctx, r.Timeout)
		b, err := r.Fetch(x, m.PeerAddress, &wire.FetchRequest{Kind: kind, Hash: hash})
		f()
		if err == nil && len(b.Content) > 0 {
			return b.Content, nil
		}
	}
	return nil, errors.New("no peer has it")
}

// Wake makes Run look for work at once.
func (r *Relay) Wake() {
	f, t := r.signals()
	for _, c := range []chan struct{}{f, t} {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// Run relays until ctx ends. Fetching and telling go on side by side, so that
// a peer that has fallen silent while it is told holds up no fetch.
func (r *Relay) Run(ctx context.Context) error {
	f, t := r.signals()
	d := make(chan struct{})
	go func() {
		defer close(d)
		r.loop(ctx, t, r.tell)
	}()
	r.loop(ctx, f, r.fetchAll)
	<-d
	return nil
}

// Pass fetches what is newer and then tells the peers that are behind.
func (r *Relay) Pass(ctx context.Context) {
	r.fetchAll(ctx)
	r.tell(ctx)
}

func (r *Relay) loop(ctx context.Context, wake <-chan struct{}, work func(ctx context.Context)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		case <-r.Clock.After(r.Retry):
		}
		work(ctx)
	}
}

func (r *Relay) fetchAll(ctx context.Context) {
	for _, p := range r.Replicas {
		r.fetch(ctx, p)
	}
}

// fetch asks the peers that have a higher version, one after another, until
// one has given it. A peer that failed is left alone for Retry: it may be cut
// off in one direction only and go on telling of versions that nobody can
// fetch from it.
func (r *Relay) fetch(ctx context.Context, p *replica.Replica) {
	for _, m := range r.ahead(p) {
		if r.seenVersion(m.Name, p.Kind) <= p.Digest().Version {
			continue
		}
		x, f := context.WithTimeout(ctx, r.Timeout)
		err := p.Fetch(x, func(ctx context.Context, q *wire.FetchRequest) (*wire.FetchResponse, error) {
			return r.Fetch(ctx, m.PeerAddress, q)
		})
		f()
		if err != nil && ctx.Err() == nil {
			r.Log.Warn("not fetched", "Kind", p.Kind, "From", m.Name, "Error", err)
			r.mu.Lock()
			if r.until == nil {
				r.until = make(map[string]time.Time)
			}
			r.until[m.Name] = r.Clock.Now().Add(r.Retry)
			r.mu.Unlock()
		}
	}
}

// ahead returns the peers with a higher version: the highest first, among
// equals the nearest, and among those an order of this host's own, so that not
// all ask the same one.
func (r *Relay) ahead(p *replica.Replica) []member.Member {
	v := p.Digest().Version
	n := r.Clock.Now()
	var a []member.Member
	for _, m := range r.Peers() {
		r.mu.Lock()
		u := r.until[m.Name]
		r.mu.Unlock()
		if r.seenVersion(m.Name, p.Kind) > v && !n.Before(u) {
			a = append(a, m)
		}
	}
	s := r.Self()
	sort.SliceStable(a, func(i, j int) bool {
		x, y := r.seenVersion(a[i].Name, p.Kind), r.seenVersion(a[j].Name, p.Kind)
		if x != y {
			return x > y
		}
		if k, l := distance(s, a[i]), distance(s, a[j]); k != l {
			return k < l
		}
		return rendezvous.Uniform(s.Name, a[i].Name) < rendezvous.Uniform(s.Name, a[j].Name)
	})
	return a
}

// tell notifies the peers that are behind, Fanout of them at a time.
func (r *Relay) tell(ctx context.Context) {
	b := r.behind()
	q := make(chan member.Member, len(b))
	for _, m := range b {
		q <- m
	}
	close(q)
	n := min(len(b), r.Fanout)
	d := make(chan struct{}, n)
	for range n {
		go r.work(ctx, q, d)
	}
	for range n {
		<-d
	}
}

// work notifies peers until none is left.
func (r *Relay) work(ctx context.Context, q <-chan member.Member, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	for m := range q {
		x, f := context.WithTimeout(ctx, r.Timeout)
		r.notify(x, m)
		f()
	}
}

func (r *Relay) notify(ctx context.Context, m member.Member) {
	n := r.notice()
	a, err := r.Notify(ctx, m.PeerAddress, n)
	if err != nil {
		return // its heartbeats tell it
	}
	r.Heard(m.Name, a.Versions)
	// It has been told and fetches by itself; telling it again would cost a
	// message at each pass.
	r.Heard(m.Name, n.Versions)
}

// behind returns the peers to tell: one of each other failure domain first, so
// that a version crosses each link early and once, then those nearby.
func (r *Relay) behind() []member.Member {
	s := r.Self()
	d := make(map[string]bool)
	var far, near []member.Member
	for _, m := range r.Peers() {
		if !r.isBehind(m.Name) {
			continue
		}
		if m.Domain != s.Domain && !d[m.Domain] {
			d[m.Domain] = true
			far = append(far, m)
			continue
		}
		near = append(near, m)
	}
	sort.SliceStable(near, func(i, j int) bool { return distance(s, near[i]) < distance(s, near[j]) })
	return append(far, near...)
}

func (r *Relay) isBehind(name string) bool {
	for _, p := range r.Replicas {
		if v := p.Digest().Version; v > 0 && r.seenVersion(name, p.Kind) < v {
			return true
		}
	}
	return false
}

func (r *Relay) seenVersion(name, kind string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seen[name][kind].GetVersion()
}

func (r *Relay) notice() *wire.Notice {
	return &wire.Notice{From: &wire.Host{Name: r.Self().Name}, Versions: r.versions()}
}

func (r *Relay) versions() []*wire.Version {
	var v []*wire.Version
	for _, p := range r.Replicas {
		if d := p.Digest(); d.Version > 0 {
			v = append(v, d)
		}
	}
	return v
}

// signals returns the channels that wake fetching and telling.
func (r *Relay) signals() (fetch, tell chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.wakeFetch == nil {
		r.wakeFetch = make(chan struct{}, 1)
		r.wakeTell = make(chan struct{}, 1)
	}
	return r.wakeFetch, r.wakeTell
}

// distance is 0 within a failure domain, 1 within a region, else 2.
func distance(a, b member.Member) int {
	switch {
	case a.Domain == b.Domain:
		return 0
	case a.Region == b.Region:
		return 1
	default:
		return 2
	}
}
