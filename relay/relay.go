// Package relay distributes new versions of shared content from host to host.
// Although few hosts read the platform, every version reaches every host within
// seconds, including hosts that cannot reach the platform.
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

// maxPeersPerObject is the maximum number of peers from which a part of a
// content is requested before the platform is used.
const maxPeersPerObject = 3

// Relay compares the versions that peers announce with its own, fetches newer ones,
// and notifies peers that are behind.
type Relay struct {
	// Clock paces retries.
	Clock clockwork.Clock
	// Log receives one line for each failed fetch.
	Log *log.Logger
	// Self describes this host.
	Self func() member.Member
	// Peers returns the hosts that are alive, without this one.
	Peers func() []member.Member
	// Replicas are the contents to distribute.
	Replicas []*replica.Replica
	// PartByHash returns a part of a content by its hash, nil if this host does
	// not have it. PartByHash itself is nil if no content has parts.
	PartByHash func(kind, hash string) []byte
	// Fetch requests newer content from a peer.
	Fetch func(ctx context.Context, address string, f *wire.FetchRequest) (*wire.FetchResponse, error)
	// Notify sends this host's versions to a peer and returns the versions of
	// that peer.
	Notify func(ctx context.Context, address string, n *wire.Notice) (*wire.Notice, error)
	// Fanout is the maximum number of peers notified concurrently.
	Fanout int
	// Timeout bounds each call.
	Timeout time.Duration
	// RetryDelay is how long a peer is skipped after a failed fetch, and the longest
	// time between two passes of Run.
	RetryDelay time.Duration

	mu           sync.Mutex
	peerVersions map[string]map[string]*wire.Version // by peer and kind
	retryAfter   map[string]time.Time                // by peer, after a failed fetch
	wake         []chan struct{}
}

// RecordVersions records the versions that a peer announces, and wakes Run if
// one of them is newer than this host's version.
func (r *Relay) RecordVersions(from string, v []*wire.Version) {
	r.mu.Lock()
	if r.peerVersions == nil {
		r.peerVersions = make(map[string]map[string]*wire.Version)
	}
	m := r.peerVersions[from]
	if m == nil {
		m = make(map[string]*wire.Version)
		r.peerVersions[from] = m
	}
	for _, x := range v {
		m[x.Kind] = x
	}
	r.mu.Unlock()
	for _, p := range r.Replicas {
		for _, x := range v {
			if x.Kind == p.Kind && p.IsBehind(x, from) {
				r.Wake()
			}
		}
	}
}

// Receive processes a peer's notice and returns this host's versions.
func (r *Relay) Receive(n *wire.Notice) *wire.Notice {
	if n.GetFrom() != nil {
		r.RecordVersions(n.From.Name, n.Versions)
	}
	return &wire.Notice{Versions: r.ownVersions()}
}

// Answer handles a peer's request for newer content or for a part of a content.
func (r *Relay) Answer(f *wire.FetchRequest) *wire.FetchResponse {
	for _, p := range r.Replicas {
		if p.Kind == f.Kind {
			return p.Answer(f)
		}
	}
	if r.PartByHash != nil && f.Hash != "" {
		return &wire.FetchResponse{Hash: f.Hash, Content: r.PartByHash(f.Kind, f.Hash)}
	}
	return &wire.FetchResponse{}
}

// FetchPart requests a part of a content from peers that have a higher version of the
// content. The caller must verify the hash.
func (r *Relay) FetchPart(ctx context.Context, p *replica.Replica, kind, hash string) ([]byte, error) {
	a := r.peersAhead(p)
	for _, m := range a[:min(len(a), maxPeersPerObject)] {
		x, f := context.WithTimeout(ctx, r.Timeout)
		b, err := r.Fetch(x, m.PeerAddress, &wire.FetchRequest{Kind: kind, Hash: hash})
		f()
		if err == nil && len(b.Content) > 0 {
			return b.Content, nil
		}
	}
	return nil, errors.New("no peer has this part of the content")
}

// Wake makes Run check for new versions at once.
func (r *Relay) Wake() {
	for _, c := range r.wakeChannels() {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// Run distributes versions until ctx ends. Peers are notified and each content is
// fetched in separate goroutines, so that neither a peer that does not respond to a
// notice nor the many chunks of a large content delay the configuration.
func (r *Relay) Run(ctx context.Context) error {
	s := r.wakeChannels()
	d := make(chan struct{}, len(s))
	go r.loop(ctx, s[0], d, r.notifyPeers)
	for i, p := range r.Replicas {
		go r.loop(ctx, s[i+1], d, func(ctx context.Context) { r.fetch(ctx, p) })
	}
	for range s {
		<-d
	}
	return nil
}

// Sync fetches newer versions and then notifies the peers that are behind.
func (r *Relay) Sync(ctx context.Context) {
	for _, p := range r.Replicas {
		r.fetch(ctx, p)
	}
	r.notifyPeers(ctx)
}

func (r *Relay) loop(ctx context.Context, wake <-chan struct{}, done chan<- struct{}, work func(ctx context.Context)) {
	defer func() { done <- struct{}{} }()
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		case <-r.Clock.After(r.RetryDelay):
		}
		work(ctx)
	}
}

// fetch requests newer content from the peers that have a higher version, one
// after another, until one has provided it. A peer from which a fetch failed is
// skipped for RetryDelay: if messages pass only from the peer to this host, the
// peer keeps announcing versions that this host cannot fetch from it.
func (r *Relay) fetch(ctx context.Context, p *replica.Replica) {
	for _, m := range r.peersAhead(p) {
		if r.peerVersion(m.Name, p.Kind) <= p.CurrentVersion().Version {
			continue
		}
		x, f := context.WithTimeout(ctx, r.Timeout)
		err := p.Fetch(x, func(ctx context.Context, q *wire.FetchRequest) (*wire.FetchResponse, error) {
			return r.Fetch(ctx, m.PeerAddress, q)
		})
		f()
		if err != nil && ctx.Err() == nil {
			r.Log.Warn("fetching a newer version from a peer failed", "Kind", p.Kind, "From", m.Name, "Error", err)
			r.mu.Lock()
			if r.retryAfter == nil {
				r.retryAfter = make(map[string]time.Time)
			}
			r.retryAfter[m.Name] = r.Clock.Now().Add(r.RetryDelay)
			r.mu.Unlock()
		}
	}
}

// peersAhead returns the peers with a higher version, ordered by version,
// highest first, then by distance, nearest first. Peers with equal version and
// distance are ordered differently on each host, so that not all hosts query the
// same peer.
func (r *Relay) peersAhead(p *replica.Replica) []member.Member {
	v := p.CurrentVersion().Version
	n := r.Clock.Now()
	var a []member.Member
	for _, m := range r.Peers() {
		r.mu.Lock()
		u := r.retryAfter[m.Name]
		r.mu.Unlock()
		if r.peerVersion(m.Name, p.Kind) > v && !n.Before(u) {
			a = append(a, m)
		}
	}
	s := r.Self()
	sort.SliceStable(a, func(i, j int) bool {
		x, y := r.peerVersion(a[i].Name, p.Kind), r.peerVersion(a[j].Name, p.Kind)
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

// notifyPeers notifies the peers that are behind, up to Fanout concurrently.
func (r *Relay) notifyPeers(ctx context.Context) {
	b := r.peersBehind()
	q := make(chan member.Member, len(b))
	for _, m := range b {
		q <- m
	}
	close(q)
	n := min(len(b), r.Fanout)
	d := make(chan struct{}, n)
	for range n {
		go r.notifyQueued(ctx, q, d)
	}
	for range n {
		<-d
	}
}

// notifyQueued notifies the peers from a queue until it is empty.
func (r *Relay) notifyQueued(ctx context.Context, q <-chan member.Member, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	for m := range q {
		x, f := context.WithTimeout(ctx, r.Timeout)
		r.notifyPeer(x, m)
		f()
	}
}

func (r *Relay) notifyPeer(ctx context.Context, m member.Member) {
	n := r.notice()
	a, err := r.Notify(ctx, m.PeerAddress, n)
	if err != nil {
		return // the peer learns the versions from heartbeats
	}
	r.RecordVersions(m.Name, a.Versions)
	// The peer now fetches the contents by itself. Recording the announced
	// versions as the peer's own avoids sending it the same notice at each pass.
	r.RecordVersions(m.Name, n.Versions)
}

// peersBehind returns the peers to notify: first one of each other failure domain,
// so that a version crosses each link early and only once, then the remaining ones
// by distance.
func (r *Relay) peersBehind() []member.Member {
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
		if v := p.CurrentVersion().Version; v > 0 && r.peerVersion(name, p.Kind) < v {
			return true
		}
	}
	return false
}

func (r *Relay) peerVersion(name, kind string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peerVersions[name][kind].GetVersion()
}

func (r *Relay) notice() *wire.Notice {
	return &wire.Notice{From: &wire.Host{Name: r.Self().Name}, Versions: r.ownVersions()}
}

func (r *Relay) ownVersions() []*wire.Version {
	var v []*wire.Version
	for _, p := range r.Replicas {
		if d := p.CurrentVersion(); d.Version > 0 {
			v = append(v, d)
		}
	}
	return v
}

// wakeChannels returns the channels that wake the notifying goroutine, at index 0,
// and the fetching goroutine of each replica.
func (r *Relay) wakeChannels() []chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.wake) < len(r.Replicas)+1 {
		r.wake = append(r.wake, make(chan struct{}, 1))
	}
	return r.wake
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
