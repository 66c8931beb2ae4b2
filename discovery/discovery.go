// Package discovery maintains the list of backend servers that take new requests.
package discovery

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/deadline"
	"celeryreach.example/celeryreach/reportorder"
)

const (
	// coldMargin is added to the remaining cold time that a backend server reports,
	// to allow for the delay of the report.
	coldMargin = 300 * time.Millisecond
	// sweepInterval is how often missing entries, and backend servers that left, are
	// checked for expiry.
	sweepInterval = 200 * time.Millisecond
	// correctionTime is how long the store may show an outdated report instead of the latest one of
	// a process that lives: its next report corrects that.
	correctionTime = 2 * time.Second
)

// Discovery derives the usable backend servers from the list in the store, outages of the
// store, evacuations of failure domains and what backend servers state in responses to
// this host or to others.
type Discovery struct {
	// Clock measures how long missing entries are kept and backend servers are cold.
	Clock clockwork.Clock
	// Log receives one line for each backend server that appears, leaves or becomes
	// cold, and for each evacuation of a failure domain. The line of one that leaves has
	// ToldBy, unless the list in the store shows it.
	Log *log.Logger
	// WarmUp returns how long a backend server of a service may be cold.
	WarmUp func(service string) time.Duration
	// UncertainUntil returns until when entries may be missing although their backend
	// servers live, after an outage of the store. It is zero if there was none.
	UncertainUntil func() time.Time
	// LapseTime is how long after the last report of a backend server the store removes its
	// entry.
	LapseTime time.Duration
	// SteadySince returns since when the store has answered without an outage: the current time
	// while it does not answer, zero if there was no outage. Nil means that there is none.
	SteadySince func() time.Time
	// OnChange is called with the backend servers that take new requests, and a
	// function that returns the time until which one of them is cold.
	OnChange func(l []backend.Backend, cold func(name string) time.Time)
	// Notify is called when other hosts should be told at once that a backend server
	// leaves.
	Notify func()

	mu          sync.Mutex
	entries     map[string]*entry
	order       *reportorder.Reportorder
	confirmedAt time.Time                  // when the list was last known to be that of the store
	outdated    map[string]backend.Backend // reports in the store that are not believed, by name
	departures  map[process]*departure     // processes that stated that they leave
	evacuated   map[string]bool
	pendingLogs []logEntry // queued since OnChange was last called
}

// logEntry is a log line that is written after the change that it describes was passed to
// OnChange.
type logEntry struct {
	level   log.Level
	message string
	fields  []any
}

type entry struct {
	backend   backend.Backend
	coldUntil time.Time
	keptSince time.Time // since when a missing entry is kept; zero while the entry is listed
	lapsed    bool      // it may have gone missing in the outage
}

// Run drops expired entries until ctx ends.
func (d *Discovery) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-d.Clock.After(sweepInterval):
			d.Sweep()
		}
	}
	return nil
}

// SetBackends sets the list of backend servers in the store. During an outage of the
// store, entries of healthy backend servers expire, so entries that are missing stay in
// use until UncertainUntil. If that time has passed, missing entries are dropped at
// once, also when the list comes from another host because this one can't reach the
// store. So are those whose address another entry has: their processes have ended.
func (d *Discovery) SetBackends(l []backend.Backend) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.entries == nil {
		d.entries = make(map[string]*entry)
		d.order = &reportorder.Reportorder{Clock: d.Clock, LapseTime: d.LapseTime, SteadySince: d.SteadySince}
	}
	s, a := make(map[string]bool, len(l)), make(map[string]bool, len(l)) // listed names and addresses
	o := d.outdated
	d.outdated = make(map[string]backend.Backend)
	for _, b := range l {
		s[b.Name] = true
		if _, ok := o[b.Name]; d.accept(b, !ok) {
			a[b.Address] = b.Address != ""
		}
	}
	for n := range o {
		if !s[n] && d.entries[n] == nil {
			d.order.Remove(n, false)
		}
	}
	p := d.confirmedAt.Before(d.steadySince()) // the outage may have begun after the list before this one
	d.confirmedAt = d.Clock.Now()
	u := d.Clock.Until(d.UncertainUntil())
	for n, k := range d.entries {
		switch {
		case s[n]:
		case u <= 0, a[k.backend.Address]:
			d.drop(n, k)
		case k.keptSince.IsZero():
			k.keptSince, k.lapsed = d.Clock.Now(), p
			d.queueLog(log.WarnLevel, "backend server is missing after an outage of the store", "Backend", n, "Service", k.backend.Service, "KeptFor", u)
		}
	}
	d.publish()
}

// ConfirmBackends records that the list is that of the store now.
func (d *Discovery) ConfirmBackends() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.confirmedAt = d.Clock.Now()
}

// SetEvacuated sets the failure domains whose backend servers get no new requests.
func (d *Discovery) SetEvacuated(z map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.Clock.Now()
	for v := range d.evacuated {
		if z[v] {
			continue
		}
		d.queueLog(log.InfoLevel, "failure domain is back", "Domain", v)
		// The backend servers of the failure domain were idle and may be cold, although
		// none has been able to report this yet.
		for _, k := range d.entries {
			if k.backend.Domain == v {
				k.coldUntil = deadline.Later(k.coldUntil, n.Add(d.WarmUp(k.backend.Service)+coldMargin))
			}
		}
	}
	for v := range z {
		if !d.evacuated[v] {
			d.queueLog(log.InfoLevel, "failure domain is evacuated", "Domain", v)
		}
	}
	d.evacuated = z
	d.publish()
}

// accept uses a report, and returns false if it is outdated. isNew tells that the store did not
// show an outdated one of this backend server before.
func (d *Discovery) accept(b backend.Backend, isNew bool) bool {
	b, ok := d.order.Accept(b)
	switch {
	case ok:
		d.put(b)
		return true
	case isNew:
		d.queueLog(log.InfoLevel, "outdated report of a backend server not used", "Backend", b.Name, "Service", b.Service, "Started", b.Started, "Sequence", b.Sequence)
	}
	d.outdated[b.Name] = b
	return false
}

func (d *Discovery) put(b backend.Backend) {
	k := d.entries[b.Name]
	n := d.Clock.Now()
	if k == nil {
		d.queueLog(log.InfoLevel, "backend server appeared", "Backend", b.Name, "Service", b.Service, "Domain", b.Domain, "ColdFor", b.ColdFor)
		k = &entry{}
		d.entries[b.Name] = k
	}
	if k.backend.Revision != b.Revision && b.ColdFor > 0 {
		d.queueLog(log.InfoLevel, "backend server is cold", "Backend", b.Name, "For", b.ColdFor)
		k.coldUntil = deadline.Later(k.coldUntil, n.Add(b.ColdFor+coldMargin))
	}
	if b.Draining && !k.backend.Draining {
		d.queueLog(log.InfoLevel, "backend server leaves", "Backend", b.Name, "Service", b.Service)
	}
	k.backend = b
	if !k.keptSince.IsZero() {
		d.queueLog(log.InfoLevel, "backend server is listed again", "Backend", b.Name, "Service", b.Service, "MissingFor", n.Sub(k.keptSince))
	}
	k.keptSince, k.lapsed = time.Time{}, false
}

func (d *Discovery) drop(name string, k *entry) {
	f := []any{"Backend", name, "Service", k.backend.Service}
	if !k.keptSince.IsZero() {
		f = append(f, "MissingFor", d.Clock.Since(k.keptSince))
	}
	d.queueLog(log.InfoLevel, "backend server is gone", f...)
	d.order.Remove(name, k.lapsed)
	delete(d.entries, name)
}

func (d *Discovery) steadySince() time.Time {
	if d.SteadySince == nil {
		return time.Time{}
	}
	return d.SteadySince()
}

// Sweep drops entries that went missing during an outage of the store and weren't
// listed again in time, and those that an outdated report replaced for too long. It uses
// outdated reports that turn out to be the latest, and forgets backend servers that left long ago.
func (d *Discovery) Sweep() {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.forgetDepartures()
	if d.sweepOutdated() {
		c = true
	}
	if d.order != nil {
		d.order.Forget(func(n string) bool { return d.entries[n] != nil })
	}
	if d.Clock.Until(d.UncertainUntil()) <= 0 {
		for n, k := range d.entries {
			if !k.keptSince.IsZero() {
				d.drop(n, k)
				c = true
			}
		}
	}
	if c {
		d.publish()
	}
}

// sweepOutdated uses outdated reports that have stood for so long that they are the latest. A
// process whose last report was not written again instead of an outdated one is gone. It reports
// whether backend servers changed.
func (d *Discovery) sweepOutdated() bool {
	c := false
	for n, b := range d.outdated {
		if b, ok := d.order.Accept(b); ok {
			delete(d.outdated, n)
			d.put(b)
			c = true
			continue
		}
		if k := d.entries[n]; k != nil && !k.backend.Draining && d.order.DoubtedFor(n) >= correctionTime {
			d.drop(n, k)
			c = true
		}
	}
	return c
}

func (d *Discovery) publish() {
	var l []backend.Backend
	for _, k := range d.entries {
		if d.isUsable(k.backend) {
			l = append(l, k.backend)
		}
	}
	d.OnChange(l, func(n string) time.Time { return d.entries[n].coldUntil })
	d.flushLogs()
}

// IsUsable reports whether a process of a backend server takes new requests. It must not be
// called by OnChange.
func (d *Discovery) IsUsable(name string, started int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := process{name: name, started: started}
	return d.hasEntry(p) && d.isUsable(d.entries[name].backend)
}

// isUsable reports whether a backend server takes new requests.
func (d *Discovery) isUsable(b backend.Backend) bool {
	return !b.Draining && !d.evacuated[b.Domain] && d.departures[process{name: b.Name, started: b.Started}] == nil
}

func (d *Discovery) flushLogs() {
	for _, e := range d.pendingLogs {
		d.Log.Log(e.level, e.message, e.fields...)
	}
	d.pendingLogs = nil
}

func (d *Discovery) queueLog(l log.Level, message string, fields ...any) {
	d.pendingLogs = append(d.pendingLogs, logEntry{level: l, message: message, fields: fields})
}
