// Package copier fetches newer copies of the store's tables from other hosts,
// for a host whose own way to the store is blocked.
package copier

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
	// pending is how many questions wait at most; heartbeats bring the others
	// again.
	pending = 32
	// fetchTimeout bounds a fetch, so that one silent host holds up the next
	// question for no longer.
	fetchTimeout = time.Second
)

// Copier compares what other hosts say they have with the own copies.
type Copier struct {
	// Clock bounds fetches.
	Clock clockwork.Clock
	// Log receives one line for each fetch that failed.
	Log *log.Logger
	// Mirrors are the copies.
	Mirrors []*mirror.Mirror
	// Fetch asks a host.
	Fetch func(ctx context.Context, address string, f *wire.FetchRequest) (*wire.FetchResponse, error)

	wanted chan wanted
}

type wanted struct {
	address string
	mirror  *mirror.Mirror
	version uint64
}

// New returns a Copier; its fields are set before Run.
func New() *Copier {
	return &Copier{wanted: make(chan wanted, pending)}
}

// Versions returns what this host has, for heartbeats.
func (c *Copier) Versions() []*wire.Version {
	var r []*wire.Version
	for _, m := range c.Mirrors {
		v := &wire.Version{Kind: m.Name, Version: m.Version()}
		if m.Store != nil {
			v.AgeNanoseconds = m.Store.Own()
		}
		r = append(r, v)
	}
	return r
}

// Heard takes what a host has. It never blocks.
func (c *Copier) Heard(address string, l []*wire.Version) {
	for _, v := range l {
		for _, m := range c.Mirrors {
			if m.Name != v.GetKind() {
				continue
			}
			if m.Store != nil {
				m.Store.Heard(v.GetAgeNanoseconds())
			}
			if !m.Wants(v.GetVersion()) {
				continue
			}
			select {
			case c.wanted <- wanted{address: address, mirror: m, version: v.GetVersion()}:
			default:
			}
		}
	}
}

// Answer gives another host the copy that it asks for.
func (c *Copier) Answer(f *wire.FetchRequest) *wire.FetchResponse {
	for _, m := range c.Mirrors {
		if m.Name != f.GetKind() {
			continue
		}
		v, b, err := m.Content()
		if err != nil {
			panic(err) // copies are plain data
		}
		return &wire.FetchResponse{Version: v, Content: b, Total: uint64(len(b))}
	}
	return &wire.FetchResponse{}
}

// Run fetches until ctx ends.
func (c *Copier) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case w := <-c.wanted:
			c.fetch(ctx, w)
		}
	}
}

func (c *Copier) fetch(ctx context.Context, w wanted) {
	if !w.mirror.Wants(w.version) {
		return
	}
	x, f := deadline.With(ctx, c.Clock, fetchTimeout)
	defer f()
	r, err := c.Fetch(x, w.address, &wire.FetchRequest{Kind: w.mirror.Name})
	if err == nil {
		err = w.mirror.Adopt(r.GetContent())
	}
	if err != nil {
		c.Log.Warn("copy not taken", "Table", w.mirror.Name, "From", w.address, "Version", w.version, "Error", err)
	}
}
