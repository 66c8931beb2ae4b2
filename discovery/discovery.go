// Package discovery keeps the list of backend servers that may be used.
package discovery

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/deadline"
)

const (
	// coldMargin is put on what a backend server says of how long it stays
	// cold: its word was some time under way.
	coldMargin = 300 * time.Millisecond
	// sweepEvery is how often entries are looked over that wait for a time.
	sweepEvery = 200 * time.Millisecond
)

// Discovery merges what the store lists with what happened to the store.
type Discovery struct {
	// Clock measures holds.
	Clock clockwork.Clock
	// Log receives one line for each backend server that comes, leaves or
	// turns cold.
	Log *log.Logger
	// WarmUp returns how long a backend server of a service may be cold.
	WarmUp func(service string) time.Duration
	// Changed is told which backend servers take new requests, and until when
	// one of them is cold.
	Changed func(l []backend.Backend, cold func(name string) time.Time)

	mu        sync.Mutex
	known     map[string]*known
	evacuated map[string]bool
	events    []event // since Changed was last called
}

// event is a line of the log that is written once what it tells is in force.
type event struct {
	level   log.Level
	message string
	fields  []any
}

type known struct {
	backend backend.Backend
	cold    time.Time
	lapsed  time.Time // until when a missing entry holds, zero while it is listed
}

// Run drops lapsed entries in time, until ctx ends.
func (d *Discovery) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-d.Clock.After(sweepEvery):
			d.Sweep()
		}
	}
	return nil
}

// Backends takes the list as the store has it. In an outage of the store, entries
// of sound backend servers lapse: those that are missing stay in use until doubt
// ends. Those that are missing without doubt are gone, also while this host
// itself cannot reach the store and another one told it.
func (d *Discovery) Backends(l []backend.Backend, doubt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.known == nil {
		d.known = make(map[string]*known)
	}
	s := make(map[string]bool, len(l))
	for _, b := range l {
		s[b.Name] = true
		d.put(b)
	}
	for n, k := range d.known {
		switch {
		case s[n]:
		case !doubt.After(d.Clock.Now()):
			d.drop(n, k)
		case k.lapsed.IsZero():
			d.note(log.WarnLevel, "backend server is missing after an outage of the store", "Backend", n)
			k.lapsed = doubt
		}
	}
	d.tell()
}

// Evacuated takes the failure domains that get no new requests.
func (d *Discovery) Evacuated(z map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.Clock.Now()
	for v := range d.evacuated {
		if z[v] {
			continue
		}
		d.note(log.InfoLevel, "failure domain is back", "Domain", v)
		// Its backend servers had nothing to do and may be cold, before any
		// of them can have said so.
		for _, k := range d.known {
			if k.backend.Domain == v {
				k.cold = deadline.Later(k.cold, n.Add(d.WarmUp(k.backend.Service)+coldMargin))
			}
		}
	}
	for v := range z {
		if !d.evacuated[v] {
			d.note(log.InfoLevel, "failure domain is evacuated", "Domain", v)
		}
	}
	d.evacuated = z
	d.tell()
}

func (d *Discovery) put(b backend.Backend) {
	k := d.known[b.Name]
	n := d.Clock.Now()
	if k == nil {
		d.note(log.InfoLevel, "backend server appeared", "Backend", b.Name, "Service", b.Service, "Domain", b.Domain, "ColdFor", b.ColdFor)
		k = &known{}
		d.known[b.Name] = k
	}
	if k.backend.Revision != b.Revision && b.ColdFor > 0 {
		d.note(log.InfoLevel, "backend server is cold", "Backend", b.Name, "For", b.ColdFor)
		k.cold = deadline.Later(k.cold, n.Add(b.ColdFor+coldMargin))
	}
	if b.Draining && !k.backend.Draining {
		d.note(log.InfoLevel, "backend server leaves", "Backend", b.Name, "Service", b.Service)
	}
	k.backend = b
	k.lapsed = time.Time{}
}

func (d *Discovery) drop(name string, k *known) {
	d.note(log.InfoLevel, "backend server is gone", "Backend", name, "Service", k.backend.Service)
	delete(d.known, name)
}

// Sweep drops entries that lapsed in an outage and are not back in time.
func (d *Discovery) Sweep() {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := false
	for n, k := range d.known {
		if !k.lapsed.IsZero() && !k.lapsed.After(d.Clock.Now()) {
			d.drop(n, k)
			c = true
		}
	}
	if c {
		d.tell()
	}
}

func (d *Discovery) tell() {
	var l []backend.Backend
	for _, k := range d.known {
		if !k.backend.Draining && !d.evacuated[k.backend.Domain] {
			l = append(l, k.backend)
		}
	}
	d.Changed(l, func(n string) time.Time { return d.known[n].cold })
	for _, e := range d.events {
		d.Log.Log(e.level, e.message, e.fields...)
	}
	d.events = nil
}

func (d *Discovery) note(l log.Level, message string, fields ...any) {
	d.events = append(d.events, event{level: l, message: message, fields: fields})
}
