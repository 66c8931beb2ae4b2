// Package mirrorsync fetches newer copies of the store's tables from other hosts,
// for a host that the store does not answer.
package mirrorsync

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/deadline"
	"celeryreach.example/celeryreach/mirror"
	"celeryreach.example/celeryreach/wire"
)

const (
	// fetchTimeout bounds a fetch, so that a host that does not answer does not keep
	// its place for longer.
	fetchTimeout = time.Second
	// nextFetchDelay is how long a fetch may take before another host is asked as
	// well: a round trip to the farthest region, and the transfer of a changed row.
	nextFetchDelay = 250 * time.Millisecond
	// maxFetches is the maximum number of hosts asked for one table at the same time.
	maxFetches = 3
	// maxAskDelay bounds the exponential backoff of AskPeers, which starts with
	// nextFetchDelay.
	maxAskDelay = time.Second
	// maxHolders is the number of hosts that are remembered to have a newer version
	// of a table.
	maxHolders = 8
)

// Mirrorsync compares the table versions that other hosts report with its own
// copies.
type Mirrorsync struct {
	// Clock bounds fetches.
	Clock clockwork.Clock
	// Log receives one line for each fetch that failed.
	Log *log.Logger
	// Mirrors are the copies of the tables.
	Mirrors []*mirror.Mirror
	// AskPeers asks all peers for the versions that they have, without waiting. It is
	// called while this host knows of a newer version, and of no host to ask for it.
	AskPeers func()
	// Random returns a random number in [0, 1), to choose a host.
	Random func() float64
	// Fetch requests a copy from a host.
	Fetch func(ctx context.Context, address string, f *wire.FetchRequest) (*wire.FetchResponse, error)

	mu      sync.Mutex
	holders map[string][]holder // of newer versions, by table, the last one heard last
	wake    map[string]chan struct{}
}

// holder is a host that has a version of a table.
type holder struct {
	address string
	version uint64
}

// New returns a Mirrorsync. Its fields must be set before Run is called.
func New() *Mirrorsync {
	return &Mirrorsync{holders: make(map[string][]holder), wake: make(map[string]chan struct{})}
}

// Versions returns the versions of this host's copies, for heartbeats.
func (c *Mirrorsync) Versions() []*wire.Version {
	var r []*wire.Version
	for _, m := range c.Mirrors {
		v := &wire.Version{Kind: m.Name, Version: m.Version()}
		if m.StoreFreshness != nil {
			v.AgeNanoseconds = m.StoreFreshness.OwnAge()
		}
		r = append(r, v)
	}
	return r
}

// HandleVersions processes the versions that a host reports. It never blocks.
func (c *Mirrorsync) HandleVersions(address string, l []*wire.Version) {
	for _, v := range l {
		for _, m := range c.Mirrors {
			if m.Name != v.GetKind() {
				continue
			}
			if m.StoreFreshness != nil {
				m.StoreFreshness.RecordRemoteAge(v.GetAgeNanoseconds())
			}
			if m.SetHostsVersion(v.GetVersion()) {
				c.addHolder(m.Name, holder{address: address, version: v.GetVersion()})
			}
		}
	}
}

func (c *Mirrorsync) addHolder(table string, h holder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.holders[table]
	l = append(slices.DeleteFunc(l, func(o holder) bool { return o.address == h.address }), h)
	c.holders[table] = l[max(len(l)-maxHolders, 0):]
	select {
	case c.signal(table) <- struct{}{}:
	default: // already signaled
	}
}

// takeHolder removes and returns a host that has a newer version than after. It is drawn, so
// that not all hosts that lack a version ask the same one.
func (c *Mirrorsync) takeHolder(table string, after uint64) (h holder, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := slices.DeleteFunc(c.holders[table], func(o holder) bool { return o.version <= after })
	c.holders[table] = l
	if len(l) == 0 {
		return holder{}, false
	}
	i := int(c.Random() * float64(len(l)))
	h = l[i]
	c.holders[table] = slices.Delete(l, i, i+1)
	return h, true
}

// signal returns the channel that wakes the goroutine of a table. The caller holds mu.
func (c *Mirrorsync) signal(table string) chan struct{} {
	if c.wake[table] == nil {
		c.wake[table] = make(chan struct{}, 1)
	}
	return c.wake[table]
}

// Answer returns the copy that another host requests, or what changed in it since the version
// that this host has.
func (c *Mirrorsync) Answer(f *wire.FetchRequest) *wire.FetchResponse {
	for _, m := range c.Mirrors {
		if m.Name != f.GetKind() {
			continue
		}
		v, b, err := m.Content(f.GetHave())
		if err != nil {
			panic(err) // copies are plain data, which can always be encoded
		}
		return &wire.FetchResponse{Version: v, Content: b, Total: uint64(len(b))}
	}
	return &wire.FetchResponse{}
}

// Run fetches newer copies until ctx ends.
func (c *Mirrorsync) Run(ctx context.Context) error {
	d := make(chan struct{})
	for _, m := range c.Mirrors {
		go func() {
			c.follow(ctx, m)
			d <- struct{}{}
		}()
	}
	for range c.Mirrors {
		<-d
	}
	return nil
}

// follow fetches the newer copies of one table.
func (c *Mirrorsync) follow(ctx context.Context, m *mirror.Mirror) {
	c.mu.Lock()
	w := c.signal(m.Name)
	c.mu.Unlock()
	for {
		var t <-chan time.Time
		if d, ok := m.PeerCopyDelay(); ok && d > 0 {
			t = c.Clock.After(d)
		} else if ok {
			c.catchUp(ctx, m, w)
		}
		select {
		case <-ctx.Done():
			return
		case <-t:
		case <-w:
		}
	}
}

// catchUp asks hosts that have a newer version of a table, the next one if those asked before take
// long, until the copy is no longer behind. A host that told of a version may have ended since, and
// others may have it.
func (c *Mirrorsync) catchUp(ctx context.Context, m *mirror.Mirror, wake <-chan struct{}) {
	x, f := context.WithCancel(ctx)
	d := make(chan struct{})
	o := 0 // fetches in flight
	defer func() {
		f()
		for ; o > 0; o-- {
			<-d
		}
	}()
	n, a := true, nextFetchDelay // whether the next host may be asked, and the pause after AskPeers
	var t, q <-chan time.Time
	for {
		if _, b := m.PeerCopyDelay(); !b {
			return
		}
		if n && o < maxFetches {
			h, ok := c.takeHolder(m.Name, m.ContentVersion())
			switch {
			case ok:
				o++
				go func() {
					c.fetch(x, m, h)
					d <- struct{}{}
				}()
				n, t = false, c.Clock.After(nextFetchDelay)
			case q == nil:
				c.AskPeers()
				q = c.Clock.After(a)
				a = min(2*a, maxAskDelay)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-wake: // another host has it
		case <-q:
			q = nil
		case <-t:
			n = true
		case <-d:
			o--
			n = true
		}
	}
}

// fetch applies the copy of a host.
func (c *Mirrorsync) fetch(ctx context.Context, m *mirror.Mirror, h holder) {
	x, f := deadline.With(ctx, c.Clock, fetchTimeout)
	defer f()
	r, err := c.Fetch(x, h.address, &wire.FetchRequest{Kind: m.Name, Have: m.ContentVersion()})
	if err == nil {
		err = m.ApplyPeerCopy(r.GetContent())
	}
	if err != nil && ctx.Err() == nil {
		c.Log.Warn("cannot update copy of table", "Table", m.Name, "From", h.address, "Version", h.version, "Error", err)
	}
}
