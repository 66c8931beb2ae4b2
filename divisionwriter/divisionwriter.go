// Package divisionwriter writes divisions: it adds and removes holders and adjusts
// leased parts to demand.
package divisionwriter

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
	"celeryreach.example/celeryreach/entitlement"
	"celeryreach.example/celeryreach/holder"
	"celeryreach.example/celeryreach/row"
	"celeryreach.example/celeryreach/store"
)

// maxEarlierEpochs bounds the epochs that may be in use at once. No epoch is
// written while this limit is reached. Otherwise a host that does not move to
// later epochs would make the row grow without limit.
const maxEarlierEpochs = 8

const (
	// activeReaders is the number of hosts that read the table at every call of
	// Step.
	activeReaders = 2
	// passiveReadSteps is the time, in multiples of ReadInterval, after which a
	// host that is not among the activeReaders reads the table again.
	passiveReadSteps = 10
	// startupReadFactor is how many times more often a host without a division
	// reads the table.
	startupReadFactor = 4
	// discoveryDivisor divides Hold into the time for which starting hosts
	// discover each other before they write the first epoch. A host that starts
	// later joins with the second epoch.
	discoveryDivisor = 6
)

// minorityWaitHolds is how long, in multiples of Hold, a host that reaches only
// a minority of the holders does not write epochs, because the majority may
// still write them.
const minorityWaitHolds = 10

// Divisionwriter runs on every host and reads the division row. The host whose name
// sorts first writes the next epoch; another host writes it only if the first does
// not. Two hosts that write at the same time cause a commit conflict, but never an
// unsafe division.
type Divisionwriter struct {
	// Clock schedules the reads.
	Clock clockwork.Clock
	// Log receives one line for each epoch that this host writes.
	Log *log.Logger
	// Store holds the division row.
	Store store.Store
	// Entitlement receives the divisions that are read.
	Entitlement *entitlement.Entitlement
	// Alive returns the processes from which this host or one of its peers
	// recently received a heartbeat, this process included. Processes that shut
	// down are left out.
	Alive func() []holder.Holder
	// Config returns the configuration in force, nil before the first.
	Config func() *config.Config
	// Demand returns the fraction of each limit that hosts request, by limit and
	// host name.
	Demand func() map[string]map[string]float64
	// IsListed reports whether the platform lists a process as running. The list
	// is updated with a delay, so the writer only postpones epochs because of
	// it.
	IsListed func(h holder.Holder) bool
	// ReadInterval is the time between two reads.
	ReadInterval time.Duration
	// MinEpochInterval is the minimum time between two epochs that only adjust parts to
	// demand.
	MinEpochInterval time.Duration

	firstStepAt    time.Time
	lastReadAt     time.Time
	epochChangedAt time.Time // when this host last saw the epoch change
	epoch          uint64
	dueSince       time.Time // since when a new epoch is due
	// version and division are the newest row that was decoded.
	version  uint64
	division division.Division
}

// Run reads and writes until ctx ends.
func (a *Divisionwriter) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		a.Step(ctx)
		select {
		case <-ctx.Done():
		case <-a.Clock.After(a.readInterval()):
		}
	}
	return nil
}

// readInterval is shorter while this host has no division, since its callers
// wait for one.
func (a *Divisionwriter) readInterval() time.Duration {
	if a.Entitlement.Epoch() == 0 {
		return a.ReadInterval / startupReadFactor
	}
	return a.ReadInterval
}

// Step reads the row once and writes the next epoch if one is due.
func (a *Divisionwriter) Step(ctx context.Context) {
	t := a.Clock.Now()
	if !a.shouldRead(t) {
		return
	}
	a.lastReadAt = t
	x, f := clockwork.WithTimeout(ctx, a.Clock, a.ReadInterval)
	defer f()
	if a.firstStepAt.IsZero() {
		a.firstStepAt = t
	}
	r, err := a.Store.Read(x, division.RowKey)
	if err != nil {
		return
	}
	if r.Version != a.version {
		// An unchanged row is not decoded again.
		a.division = division.Division{}
		if err := codec.Unmarshal(r.Value, &a.division); err != nil {
			a.Log.Error("cannot decode division row", "Error", err)
			return
		}
		a.version = r.Version
	}
	d := a.division
	if r.Version != 0 {
		a.Entitlement.ApplyDivision(d, t)
	}
	n, ok := a.nextDue(d)
	if !ok {
		return
	}
	a.writeEpoch(x, r, n)
}

// shouldRead reports whether this host reads the table now. The activeReaders
// first hosts always read, so that one of them can write. The other hosts
// receive epochs by heartbeats, and read the table only when the heartbeats do
// not suffice, to limit the load on the table.
func (a *Divisionwriter) shouldRead(now time.Time) bool {
	return a.rank(a.Alive()) < activeReaders || a.Entitlement.NeedsTable() || now.Sub(a.lastReadAt) >= passiveReadSteps*a.ReadInterval
}

// nextDue returns the epoch to write after d, if this host should write one
// now.
func (a *Divisionwriter) nextDue(d division.Division) (division.Division, bool) {
	n := a.Clock.Now()
	if d.Epoch != a.epoch {
		a.epoch = d.Epoch
		a.epochChangedAt = n
		a.dueSince = time.Time{}
	}
	c := a.Config()
	if c == nil || d.Epoch == 0 && n.Sub(a.firstStepAt) < a.Entitlement.Hold/discoveryDivisor {
		return d, false
	}
	l := a.Alive()
	if !a.Entitlement.RanWithoutGap() {
		// A process that has just started or was paused has not received the
		// heartbeats of the other processes yet. If it wrote an epoch now, it
		// would remove all of them as holders.
		l = unionByName(l, d.Holders)
	}
	o, ok := a.Entitlement.Current()
	if ok && (o.Epoch != d.Epoch || len(o.Earlier) >= maxEarlierEpochs) {
		return d, false
	}
	p := &epochBuilder{
		old: o, config: c, alive: l, floorsReleased: a.floorsReleased,
		demand: a.Demand(), followDemand: n.Sub(a.epochChangedAt) >= a.MinEpochInterval,
	}
	if a.inMinority(d, p.alive, n) {
		return d, false
	}
	v, u := p.build()
	v.Author = a.Entitlement.Self.Name
	if !u {
		a.dueSince = time.Time{}
		return d, false
	}
	if a.dueSince.IsZero() {
		a.dueSince = n
	}
	return v, n.Sub(a.dueSince) >= time.Duration(a.rank(p.alive))*2*a.ReadInterval
}

// unionByName returns the processes of a, and the processes of b whose name is
// not in a, sorted by name.
func unionByName(a, b []holder.Holder) []holder.Holder {
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

// inMinority reports whether this host reaches less than half of the holders
// while the platform still lists some of the holders that it cannot reach. If
// such a host wrote epochs, the two sides of a network partition that both
// reach the table would remove each other's holders again and again.
func (a *Divisionwriter) inMinority(d division.Division, alive []holder.Holder, now time.Time) bool {
	m := make(map[holder.Holder]bool, len(alive))
	for _, h := range alive {
		m[h] = true
	}
	n, l := 0, false
	for _, h := range d.Holders {
		if m[h] {
			n++
		} else if a.IsListed(h) {
			l = true
		}
	}
	return 2*n < len(d.Holders) && l && now.Sub(a.epochChangedAt) < minorityWaitHolds*a.Entitlement.Hold
}

// rank is the position of this host among the alive hosts sorted by name.
func (a *Divisionwriter) rank(l []holder.Holder) int {
	return sort.Search(len(l), func(i int) bool { return l[i].Name >= a.Entitlement.Self.Name })
}

// floorsReleased reports whether a failure domain has stopped using its floors
// of epochs before e.
func (a *Divisionwriter) floorsReleased(domain string, e uint64, members []holder.Holder) bool {
	m := make(map[string]bool)
	for _, h := range members {
		if h.Domain == domain {
			m[h.Name] = true
		}
	}
	// A failure domain without a process never used its floor.
	return len(m) == 0 || a.Entitlement.DomainReachedEpoch(e, func(n string) bool { return m[n] })
}

// writeEpoch commits d as the successor of row r.
func (a *Divisionwriter) writeEpoch(ctx context.Context, r row.Row, d division.Division) {
	b, err := codec.Marshal(d)
	if err != nil {
		a.Log.Error("cannot encode division row", "Error", err)
		return
	}
	t := a.Clock.Now()
	ok, err := a.Store.Commit(ctx, commit.Commit{
		Expect: []row.Row{{Key: division.RowKey, Version: r.Version}},
		Put:    []row.Row{{Key: division.RowKey, Value: b}},
	})
	if err != nil || !ok {
		// If only the response was lost, the next read finds the epoch in the
		// row.
		return
	}
	a.Log.Info("division written", "Epoch", d.Epoch, "Holders", len(d.Holders), "Silent", len(d.Silent))
	a.Entitlement.ApplyDivision(d, t)
}
