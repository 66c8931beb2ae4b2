// Package author writes divisions: it adds and drops holders and lets leased
// parts follow the demand.
package author

import (
	"context"
	"sort"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/commit"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/division"
	"celeryreach.example/celeryreach/holder"
	"celeryreach.example/celeryreach/holding"
	"celeryreach.example/celeryreach/row"
	"celeryreach.example/celeryreach/store"
)

// earlierMost bounds the epochs that may be in use at once. While it is
// reached nothing is written: a host that cannot settle must not make the row
// grow.
const earlierMost = 8

const (
	// readers is how many hosts read the table at each step.
	readers = 2
	// seldom is how many steps the other hosts let pass between readings.
	seldom = 10
	// starts is how many times more often a host reads that has no division.
	starts = 4
	// found is the part of Hold in which starting hosts find each other before
	// the first epoch. Who is late joins with the second.
	found = 6
)

// minorityHolds is how long, in multiples of Hold, a host that hears few others
// leaves a division alone that others may still write.
const minorityHolds = 10

// Author reads the division's row on every host and writes the next epoch on
// the host whose name comes first; the others follow it only when it does not.
// Two that write at once cost a conflict, never safety.
type Author struct {
	// Clock paces the readings.
	Clock clockwork.Clock
	// Log receives one line for each epoch that this host writes.
	Log *log.Logger
	// Platform holds the row.
	Platform store.Store
	// Holding takes the divisions that are read.
	Holding *holding.Holding
	// Alive returns the processes heard lately by this host or by its peers,
	// this one included, leaving ones left out.
	Alive func() []holder.Holder
	// Config returns the configuration in force, nil before the first.
	Config func() *config.Config
	// Demand returns the fraction of each limit that hosts ask for, by limit
	// and host name.
	Demand func() map[string]map[string]float64
	// Listed reports whether the platform lists a process as live. The list
	// lags, so it only delays what this host does.
	Listed func(h holder.Holder) bool
	// Every is the time between two readings.
	Every time.Duration
	// Least is the least time between two epochs that only follow the demand.
	Least time.Duration

	began   time.Time
	asked   time.Time
	changed time.Time // when the epoch last changed, as seen here
	epoch   uint64
	needed  time.Time // since when a new epoch is due
	// The newest row that was decoded.
	version  uint64
	division division.Division
}

// Run reads and writes until ctx ends.
func (a *Author) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		a.Step(ctx)
		select {
		case <-ctx.Done():
		case <-a.Clock.After(a.pause()):
		}
	}
	return nil
}

// pause is short while this host has no division: its callers wait for it.
func (a *Author) pause() time.Duration {
	if a.Holding.Epoch() == 0 {
		return a.Every / starts
	}
	return a.Every
}

// Step reads the row once and writes the next epoch if one is due.
func (a *Author) Step(ctx context.Context) {
	t := a.Clock.Now()
	if !a.reads(t) {
		return
	}
	a.asked = t
	x, f := clockwork.WithTimeout(ctx, a.Clock, a.Every)
	defer f()
	if a.began.IsZero() {
		a.began = t
	}
	r, err := a.Platform.Read(x, division.RowKey)
	if err != nil {
		return
	}
	if r.Version != a.version {
		// A row that has not changed is not decoded again.
		a.division = division.Division{}
		if err := codec.Unmarshal(r.Value, &a.division); err != nil {
			a.Log.Error("division unreadable", "Error", err)
			return
		}
		a.version = r.Version
	}
	d := a.division
	if r.Version != 0 {
		a.Holding.Learn(d, t)
	}
	n, ok := a.next(d)
	if !ok {
		return
	}
	a.write(x, r, n)
}

// reads reports whether this host reads the table now. Two hosts always do, so
// that one of them writes; the others learn of epochs by heartbeats and read
// only when those don't suffice, since the table serves all hosts.
func (a *Author) reads(now time.Time) bool {
	return a.rank(a.Alive()) < readers || a.Holding.NeedsTable() || now.Sub(a.asked) >= seldom*a.Every
}

// next returns the epoch to write after d, if one is due by this host.
func (a *Author) next(d division.Division) (division.Division, bool) {
	n := a.Clock.Now()
	if d.Epoch != a.epoch {
		a.epoch = d.Epoch
		a.changed = n
		a.needed = time.Time{}
	}
	c := a.Config()
	if c == nil || d.Epoch == 0 && n.Sub(a.began) < a.Holding.Hold/found {
		return d, false
	}
	l := a.Alive()
	if !a.Holding.Steady() {
		// Who has just started or was paused has not heard the others yet,
		// and would drop them all.
		l = both(l, d.Holders)
	}
	o, ok := a.Holding.Current()
	if ok && (o.Epoch != d.Epoch || len(o.Earlier) >= earlierMost) {
		return d, false
	}
	p := &plan{
		old: o, config: c, alive: l, released: a.released,
		demand: a.Demand(), follow: n.Sub(a.changed) >= a.Least,
	}
	if a.minority(d, p.alive, n) {
		return d, false
	}
	v, u := p.next()
	v.Author = a.Holding.Self.Name
	if !u {
		a.needed = time.Time{}
		return d, false
	}
	if a.needed.IsZero() {
		a.needed = n
	}
	return v, n.Sub(a.needed) >= time.Duration(a.rank(p.alive))*2*a.Every
}

// both returns the processes of a, and those of b whose name is not in a, in the
// order of names.
func both(a, b []holder.Holder) []holder.Holder {
	r := append([]holder.Holder(nil), a...)
	m := make(map[string]bool, len(a))
	for _, h := range a {
		m[h.Name] = true
	}
	for _, h := range b {
		if !m[h.Name] {
			r = append(r, h)
		}
	}
	sort.Slice(r, func(i, j int) bool { return r[i].Name < r[j].Name })
	return r
}

// minority reports whether this host hears less than half of the holders, while
// the platform still lists some of the others. Two sides of a cut that both
// reach the table would else drop each other again and again.
func (a *Author) minority(d division.Division, alive []holder.Holder, now time.Time) bool {
	m := make(map[holder.Holder]bool, len(alive))
	for _, h := range alive {
		m[h] = true
	}
	n, l := 0, false
	for _, h := range d.Holders {
		if m[h] {
			n++
		} else if a.Listed(h) {
			l = true
		}
	}
	return 2*n < len(d.Holders) && l && now.Sub(a.changed) < minorityHolds*a.Holding.Hold
}

// rank is this host's place in the order of the alive hosts' names.
func (a *Author) rank(l []holder.Holder) int {
	return sort.Search(len(l), func(i int) bool { return l[i].Name >= a.Holding.Self.Name })
}

// released reports whether a failure domain has let go of its floors of epochs
// before e.
func (a *Author) released(domain string, e uint64, members []holder.Holder) bool {
	m := make(map[string]bool)
	for _, h := range members {
		if h.Domain == domain {
			m[h.Name] = true
		}
	}
	// A failure domain without a process never used its floor.
	return len(m) == 0 || a.Holding.Moved(e, func(n string) bool { return m[n] })
}

func (a *Author) write(ctx context.Context, r row.Row, d division.Division) {
	b, err := codec.Marshal(d)
	if err != nil {
		a.Log.Error("division unwritable", "Error", err)
		return
	}
	t := a.Clock.Now()
	ok, err := a.Platform.Commit(ctx, commit.Commit{
		Expect: []row.Row{{Key: division.RowKey, Version: r.Version}},
		Put:    []row.Row{{Key: division.RowKey, Value: b}},
	})
	if err != nil || !ok {
		// If only the answer was lost, the next reading finds the epoch.
		return
	}
	a.Log.Info("division written", "Epoch", d.Epoch, "Holders", len(d.Holders), "Silent", len(d.Silent))
	a.Holding.Learn(d, t)
}
