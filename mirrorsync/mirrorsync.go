// Package mirrorsync fetches newer copies of the store's tables from other hosts,
// for a host that cannot reach the store itself.
package mirrorsync

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/deadline"
	"celeryreach.example/celeryreach/mirror"
	"celeryreach.example/celeryreach/wire"
)

const (
	// maxPendingFetches is the maximum number of queued fetches. Further fetches
	// are dropped, and the next heartbeats trigger them again.
	maxPendingFetches = 32
	// fetchTimeout bounds a fetch, so that one silent host does not delay the
	// next fetch for longer.
	fetchTimeout = time.Second
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
	// Fetch requests a copy from a host.
	Fetch func(ctx context.Context, address string, f *wire.FetchRequest) (*wire.FetchResponse, error)

	jobs chan fetchJob
}

type fetchJob struct {
	address string
	mirror  *mirror.Mirror
	version uint64
}

// New returns a Mirrorsync. Its fields must be set before Run is called.
func New() *Mirrorsync {
	return &Mirrorsync{jobs: make(chan fetchJob, maxPendingFetches)}
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

// HandleVersions processes the versions that a host reports, and queues fetches of
// newer ones. It never blocks.
func (c *Mirrorsync) HandleVersions(address string, l []*wire.Version) {
	for _, v := range l {
		for _, m := range c.Mirrors {
			if m.Name != v.GetKind() {
				continue
			}
			if m.StoreFreshness != nil {
				m.StoreFreshness.RecordRemoteAge(v.GetAgeNanoseconds())
			}
			if !m.NeedsPeerCopy(v.GetVersion()) {
				continue
			}
			select {
			case c.jobs <- fetchJob{address: address, mirror: m, version: v.GetVersion()}:
			default:
			}
		}
	}
}

// Answer returns the copy that another host requests.
func (c *Mirrorsync) Answer(f *wire.FetchRequest) *wire.FetchResponse {
	for _, m := range c.Mirrors {
		if m.Name != f.GetKind() {
			continue
		}
		v, b, err := m.Content()
		if err != nil {
			panic(err) // copies are plain data, which can always be encoded
		}
		return &wire.FetchResponse{Version: v, Content: b, Total: uint64(len(b))}
	}
	return &wire.FetchResponse{}
}

// Run processes queued fetches until ctx ends.
func (c *Mirrorsync) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case w := <-c.jobs:
			c.fetch(ctx, w)
		}
	}
}

func (c *Mirrorsync) fetch(ctx context.Context, w fetchJob) {
	if !w.mirror.NeedsPeerCopy(w.version) {
		return
	}
	x, f := deadline.With(ctx, c.Clock, fetchTimeout)
	defer f()
	r, err := c.Fetch(x, w.address, &wire.FetchRequest{Kind: w.mirror.Name})
	if err == nil {
		err = w.mirror.ApplyPeerCopy(r.GetContent())
	}
	if err != nil {
		c.Log.Warn("cannot update copy of table", "Table", w.mirror.Name, "From", w.address, "Version", w.version, "Error", err)
	}
}
