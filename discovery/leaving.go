package discovery

import (
	"time"

	"github.com/charmbracelet/log"

	"celeryreach.example/celeryreach/wire"
)

// leavingRetention is how long a leaving process is remembered after its entry was last
// listed. Entries lapse in an outage of the store, and come back. A process whose start
// is unknown can't be told from its successor, and is forgotten after that time even if
// its entry stays listed.
const leavingRetention = 10 * time.Minute

// reportFor is how long after a response its statement is reported to other hosts.
const reportFor = 10 * time.Second

// toldByAnswer is logged as the source if a response to this host stated it.
const toldByAnswer = "answer"

// process is one process of a backend server. A restarted one is another.
type process struct {
	name    string
	started int64
}

// departure is what is known of a process that leaves.
type departure struct {
	// seen is when its leaving was last stated or, if its start is known, its entry was
	// last listed or kept.
	seen time.Time
	// answered is when a response to this host last stated it, zero if none did.
	answered time.Time
}

// MarkLeaving records that a process of a backend server stated, in a response to this
// host, that it leaves. It gets no new requests from now on, whatever its entry shows:
// the entry may be old, and a process never takes this back.
func (d *Discovery) MarkLeaving(name string, started int64) {
	if d.markAnswered(process{name: name, started: started}) {
		d.Notify()
	}
}

// markAnswered records what a response to this host stated, and reports whether it was new.
func (d *Discovery) markAnswered(p process) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.mark(p, toldByAnswer)
	d.departures[p].answered = d.Clock.Now()
	if c {
		d.publish()
	}
	return c
}

// Departures returns the processes that stated in recent responses to this host that they
// leave, for heartbeats, and those that have drained or started anew, while the store shows an
// outdated report of them. Those that other hosts reported are left out: if passed on, they would
// never be forgotten.
func (d *Discovery) Departures() []*wire.LeavingBackend {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.Clock.Now()
	var l []*wire.LeavingBackend
	for p, v := range d.departures {
		if !v.answered.IsZero() && n.Sub(v.answered) <= reportFor {
			l = append(l, &wire.LeavingBackend{Backend: p.name, Started: p.started})
		}
	}
	for k, b := range d.outdated {
		if d.order.HasLeft(k, b.Started) && d.departures[process{name: k, started: b.Started}] == nil {
			l = append(l, &wire.LeavingBackend{Backend: k, Started: b.Started})
		}
	}
	return l
}

// Merge applies the departures that another host reported.
func (d *Discovery) Merge(from string, l []*wire.LeavingBackend) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := false
	for _, v := range l {
		if v.GetBackend() == "" {
			d.queueLog(log.WarnLevel, "leaving backend server has no name", "ToldBy", from)
			continue
		}
		if d.mark(process{name: v.GetBackend(), started: v.GetStarted()}, from) {
			c = true
		}
	}
	if c {
		d.publish()
	}
	d.flushLogs()
}

// Leaving returns how many listed backend servers stated that they leave.
func (d *Discovery) Leaving() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for p := range d.departures {
		if d.hasEntry(p) {
			n++
		}
	}
	return n
}

// mark records that a process leaves, and reports whether that is new.
func (d *Discovery) mark(p process, toldBy string) bool {
	n := d.Clock.Now()
	if v := d.departures[p]; v != nil {
		v.seen = n
		return false
	}
	if d.departures == nil {
		d.departures = make(map[process]*departure)
	}
	d.departures[p] = &departure{seen: n}
	f := []any{"Backend", p.name}
	if d.hasEntry(p) {
		f = append(f, "Service", d.entries[p.name].backend.Service)
	}
	d.queueLog(log.InfoLevel, "backend server leaves", append(f, "ToldBy", toldBy)...)
	return true
}

// hasEntry reports whether the entry of a process is listed, or kept although it is missing.
func (d *Discovery) hasEntry(p process) bool {
	k := d.entries[p.name]
	return k != nil && k.backend.Started == p.started
}

// IsListed reports whether the entry of a process is listed, or kept although it is missing.
func (d *Discovery) IsListed(name string, started int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hasEntry(process{name: name, started: started})
}

// forgetDepartures forgets processes that were not seen for leavingRetention, and reports
// whether one of them may get requests again.
func (d *Discovery) forgetDepartures() bool {
	n := d.Clock.Now()
	c := false
	for p, v := range d.departures {
		if p.started != 0 && d.hasEntry(p) {
			v.seen = n
		}
		if n.Sub(v.seen) <= leavingRetention {
			continue
		}
		delete(d.departures, p)
		if d.hasEntry(p) {
			d.queueLog(log.InfoLevel, "backend server tried again", "Backend", p.name, "Service", d.entries[p.name].backend.Service)
			c = true
		}
	}
	return c
}
