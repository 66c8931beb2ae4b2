// Package simulation runs the limits of many hosts in one goroutine, with
// simulated clocks, messages and table, for the experiment and for property
// tests. The decisions are made by the same packages that real hosts run.
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
	"celeryreach.example/celeryreach/memorytable"
	"celeryreach.example/celeryreach/quota"
	"celeryreach.example/celeryreach/row"
	"celeryreach.example/celeryreach/store"
)

// hostListLag is how long the platform's list of hosts still contains a dead
// process.
const hostListLag = 10 * time.Second

var errOutage = errors.New("store unavailable")

// Simulation is a set of hosts and the faults between them. It must be used
// from one goroutine only.
type Simulation struct {
	// Hold, StoreHold, Heartbeat and Poll are set in every host.
	Hold      time.Duration
	StoreHold time.Duration
	Heartbeat time.Duration
	Poll      time.Duration
	// MinEpochInterval is the minimum time between epochs that only adjust parts to
	// demand.
	MinEpochInterval time.Duration
	// Config is the configuration in force on all hosts.
	Config *config.Config
	// Table is the platform's table.
	Table *memorytable.Memorytable
	// Random is the source for delays.
	Random *rand.Rand
	// Delay returns the delay of a message and whether it arrives.
	Delay func(from, to int) (time.Duration, bool)
	// Store reports whether a call of a host reaches the table at the current
	// simulated time, and whether the response reaches the host.
	Store func(host int) (reached, answered bool)
	// Grant, ReportEpoch and OnLent are hooks with which tests break the rule of
	// package entitlement on purpose. Grant changes the grant that a quota
	// receives, ReportEpoch changes the epoch that a peer reports, and OnLent runs
	// on the lender after each loan. Nil hooks change nothing.
	Grant       func(g grant.Grant) grant.Grant
	ReportEpoch func(reported, own uint64) uint64
	OnLent      func(q *quota.Quota, name string, units uint64)
	// LateReads adds reads of the table whose responses are delayed.
	LateReads bool
	// FixedGrant, if set, returns grants that replace the grants of the
	// divisions; hosts then exchange no heartbeats. It is used to simulate the
	// methods with which the experiment compares divisions.
	FixedGrant func(host int, account string) grant.Grant
	// Messages counts heartbeats and loan requests, without the responses.
	Messages int

	now      time.Time
	events   events
	sequence int
	nodes    []*node
	logger   *log.Logger
	// indexedConfig is the configuration from which accountsByName was built.
	indexedConfig  *config.Config
	accountsByName map[string]account.Account
	// version and division are the newest row that was decoded.
	version  uint64
	division division.Division
}

// Add starts a process and returns its number. Speed is the speed of its clock
// relative to exact time. If the name is in use, the earlier process continues
// to run until Kill is called for it.
func (f *Simulation) Add(name, domain, region string, speed float64) int {
	if f.now.IsZero() {
		f.now = time.Unix(1_000_000, 0)
		f.logger = log.New(io.Discard)
	}
	n := newNode(f, len(f.nodes), name, domain, region, speed)
	f.nodes = append(f.nodes, n)
	if f.FixedGrant != nil {
		return n.number
	}
	f.schedule(time.Duration(f.Random.Int64N(int64(f.Heartbeat))), n.sendHeartbeats)
	f.schedule(time.Duration(f.Random.Int64N(int64(f.Poll))), n.pollTable)
	return n.number
}

// accounts returns the accounts of the configuration by name.
func (f *Simulation) accounts() map[string]account.Account {
	if f.indexedConfig != f.Config {
		f.indexedConfig = f.Config
		f.accountsByName = make(map[string]account.Account)
		for _, a := range f.Config.Accounts {
			f.accountsByName[a.Name] = a
		}
	}
	return f.accountsByName
}

// Leave makes a process announce to the other processes that it shuts down.
func (f *Simulation) Leave(host int) {
	f.nodes[host].leaving = true
}

// Kill ends a process without an announcement.
func (f *Simulation) Kill(host int) {
	f.nodes[host].dead = true
	f.nodes[host].diedAt = f.now
}

// listed simulates the platform's list of hosts, which is updated with a delay.
func (f *Simulation) listed(h holder.Holder) bool {
	n := f.nodes[h.Incarnation-1]
	return !n.dead || f.now.Sub(n.diedAt) < hostListLag
}

// Pause stops or resumes a process. Its clock keeps running.
func (f *Simulation) Pause(host int, paused bool) {
	n := f.nodes[host]
	n.paused = paused
	if !paused {
		w := n.deferred
		n.deferred = nil
		for _, g := range w {
			f.schedule(0, g)
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

// Now returns the exact simulated time.
func (f *Simulation) Now() time.Time {
	return f.now
}

// Run processes the events of the next d.
func (f *Simulation) Run(d time.Duration) {
	t := f.now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(t) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	f.now = t
}

// At runs g after d.
func (f *Simulation) At(d time.Duration, g func()) {
	f.schedule(d, g)
}

func (f *Simulation) schedule(d time.Duration, g func()) {
	f.sequence++
	heap.Push(&f.events, event{at: f.now.Add(d), sequence: f.sequence, run: g})
}

// storeFor returns the table for one host; its calls fail as Store determines.
func (f *Simulation) storeFor(host int) store.Store {
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

// readLate returns the division in the table, for a response that is delayed.
func (f *Simulation) readLate(host int) (division.Division, bool) {
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
	at       time.Time
	sequence int
	run      func()
}

// events is a queue ordered by time, then by the order of scheduling.
type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at.Before(e[j].at)
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	o := *e
	n := len(o) - 1
	x := o[n]
	*e = o[:n]
	return x
}

// clock is the clock of one host: a fake clock that is set, whenever the host
// runs, to the simulated time scaled by the speed of the host's clock.
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
