// Package simulation plays many hosts' limits in one goroutine, with clocks,
// messages and a table of its own, for the experiment and for property tests.
// The decisions are those of the packages that hosts run.
package simulation

import (
	"container/heap"
	"context"
	"io"
	"math/rand/v2"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/commit"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/division"
	"celeryreach.example/celeryreach/grant"
	"celeryreach.example/celeryreach/holder"
	"celeryreach.example/celeryreach/quota"
	"celeryreach.example/celeryreach/row"
	"celeryreach.example/celeryreach/store"
	"celeryreach.example/celeryreach/table"
)

// listLag is how long the list of hosts names a dead process.
const listLag = 10 * time.Second

var errOutage = errors.New("the platform does not answer")

// Simulation is a number of hosts and the faults between them. Calls must come from
// one goroutine.
type Simulation struct {
	// Hold, StoreHold, Heartbeat and Poll are set in every host.
	Hold      time.Duration
	StoreHold time.Duration
	Heartbeat time.Duration
	Poll      time.Duration
	// Least is the least time between epochs that follow the demand.
	Least time.Duration
	// Config is the configuration in force everywhere.
	Config *config.Config
	// Table is the platform's table.
	Table *table.Table
	// Random draws delays.
	Random *rand.Rand
	// Delay returns how long a message takes, and whether it arrives.
	Delay func(from, to int) (time.Duration, bool)
	// Store reports whether a host's call reaches the table now, and whether
	// the answer comes back.
	Store func(host int) (reached, answered bool)
	// Grant, Report and Lent are seams at which tests break the rule on
	// purpose: the grant that a quota sees, the epoch that a peer reports, and
	// what a lender does after a loan. Nil leaves the rule whole.
	Grant  func(g grant.Grant) grant.Grant
	Report func(reported, own uint64) uint64
	Lent   func(q *quota.Quota, name string, units uint64)
	// LateReads adds readings of the table whose answers come late.
	LateReads bool
	// Fixed gives the grants in the place of divisions; then hosts exchange
	// nothing. It is for what the divisions are compared with.
	Fixed func(host int, account string) grant.Grant
	// Messages counts heartbeats and loans, answers not counted.
	Messages int

	now    time.Time
	events events
	serial int
	nodes  []*node
	logger *log.Logger
	// The accounts of the configuration that was indexed last.
	indexed *config.Config
	index   map[string]account.Account
	// The newest row that was decoded.
	version  uint64
	division division.Division
}

// Add starts a process and returns its number. Speed is how fast its clock
// runs; a process of a name that was used before replaces nobody: Kill does.
func (f *Simulation) Add(name, domain, region string, speed float64) int {
	if f.now.IsZero() {
		f.now = time.Unix(1_000_000, 0)
		f.logger = log.New(io.Discard)
	}
	n := newNode(f, len(f.nodes), name, domain, region, speed)
	f.nodes = append(f.nodes, n)
	if f.Fixed != nil {
		return n.number
	}
	f.at(time.Duration(f.Random.Int64N(int64(f.Heartbeat))), n.beat)
	f.at(time.Duration(f.Random.Int64N(int64(f.Poll))), n.poll)
	return n.number
}

// accounts returns the configuration's accounts by name.
func (f *Simulation) accounts() map[string]account.Account {
	if f.indexed != f.Config {
		f.indexed = f.Config
		f.index = make(map[string]account.Account)
		for _, a := range f.Config.Accounts {
			f.index[a.Name] = a
		}
	}
	return f.index
}

// Leave lets a process tell the others that it shuts down.
func (f *Simulation) Leave(host int) {
	f.nodes[host].leaving = true
}

// Kill ends a process without a word.
func (f *Simulation) Kill(host int) {
	f.nodes[host].dead = true
	f.nodes[host].died = f.now
}

// listed plays the platform's list of hosts, which lags.
func (f *Simulation) listed(h holder.Holder) bool {
	n := f.nodes[h.Incarnation-1]
	return !n.dead || f.now.Sub(n.died) < listLag
}

// Pause stops a process; its clock goes on.
func (f *Simulation) Pause(host int, paused bool) {
	n := f.nodes[host]
	n.paused = paused
	if !paused {
		w := n.late
		n.late = nil
		for _, g := range w {
			f.at(0, g)
		}
	}
}

// Runs reports whether a process is neither dead nor paused.
func (f *Simulation) Runs(host int) bool {
	return !f.nodes[host].dead && !f.nodes[host].paused
}

// Len returns the number of processes that were ever added.
func (f *Simulation) Len() int {
	return len(f.nodes)
}

// Now returns the time by a clock that is exact.
func (f *Simulation) Now() time.Time {
	return f.now
}

// Run plays the events of the next d.
func (f *Simulation) Run(d time.Duration) {
	t := f.now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(t) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	f.now = t
}

// At plays g after d.
func (f *Simulation) At(d time.Duration, g func()) {
	f.at(d, g)
}

func (f *Simulation) at(d time.Duration, g func()) {
	f.serial++
	heap.Push(&f.events, event{at: f.now.Add(d), serial: f.serial, run: g})
}

// platform returns the table as one host reaches it.
func (f *Simulation) platform(host int) store.Store {
	return store.Store{
		Read: func(_ context.Context, key string) (row.Row, error) {
			if r, a := f.Store(host); !r || !a {
				return row.Row{}, errOutage
			}
			return f.Table.Read(key), nil
		},
		Commit: func(_ context.Context, c commit.Commit) (bool, error) {
			r, a := f.Store(host)
			if !r {
				return false, errOutage
			}
			ok := f.Table.Commit(c)
			if !a {
				return false, errOutage
			}
			return ok, nil
		},
	}
}

// late returns the division in the table for an answer that comes late.
func (f *Simulation) late(host int) (division.Division, bool) {
	var d division.Division
	if !f.LateReads {
		return d, false
	}
	r, a := f.Store(host)
	if !r || !a {
		return d, false
	}
	v := f.Table.Read(division.RowKey)
	if v.Version != f.version {
		d = division.Division{}
		if codec.Unmarshal(v.Value, &d) != nil {
			return d, false
		}
		f.version, f.division = v.Version, d
	}
	return f.division, v.Version != 0
}

type event struct {
	at     time.Time
	serial int
	run    func()
}

// events is a queue by time, then by the order of scheduling.
type events []event

// Len is for package heap.
func (e events) Len() int { return len(e) }

// Less is for package heap.
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].serial < e[j].serial
	}
	return e[i].at.Before(e[j].at)
}

// Swap is for package heap.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push is for package heap.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop is for package heap.
func (e *events) Pop() any {
	o := *e
	n := len(o) - 1
	x := o[n]
	*e = o[:n]
	return x
}

// clock is one host's clock: a fake one that is set to the simulation's time times
// the host's speed whenever the host does something.
type clock struct {
	*clockwork.FakeClock
	began time.Time
	speed float64
}

func (c *clock) set(now time.Time) {
	t := c.began.Add(time.Duration(float64(now.Sub(c.began)) * c.speed))
	if d := t.Sub(c.Now()); d > 0 {
		c.Advance(d)
	}
}
