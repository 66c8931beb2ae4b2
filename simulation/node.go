package simulation

import (
	"context"
	"sort"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/author"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/demand"
	"celeryreach.example/celeryreach/division"
	"celeryreach.example/celeryreach/grant"
	"celeryreach.example/celeryreach/holder"
	"celeryreach.example/celeryreach/holding"
	"celeryreach.example/celeryreach/loan"
	"celeryreach.example/celeryreach/quota"
)

// loanFor is how long the experiment's loans last.
const loanFor = 250 * time.Millisecond

// node is one process.
type node struct {
	simulation *Simulation
	number     int
	self       holder.Holder
	clock      *clock
	dead       bool
	died       time.Time
	leaving    bool
	paused     bool
	late       []func()
	holding    *holding.Holding
	author     *author.Author
	quota      *quota.Quota
	demand     *demand.Demand
	told       time.Time
	// known is what the last heartbeat told of others.
	known []holder.Holder
	heard map[string]contact
}

// contact is what was last heard of a host.
type contact struct {
	holder holder.Holder
	number int
	at     time.Time
	known  []holder.Holder
	leaves bool
}

// message is a heartbeat or its answer.
type message struct {
	from   *node
	epoch  uint64
	leaves bool
	known  []holder.Holder
	demand map[string]float64
}

func newNode(f *Simulation, number int, name, domain, region string, speed float64) *node {
	c := &clock{FakeClock: clockwork.NewFakeClockAt(f.now), began: f.now, speed: speed}
	n := &node{
		simulation: f, number: number, clock: c, heard: make(map[string]contact),
		self: holder.Holder{Name: name, Incarnation: uint64(number + 1), Domain: domain, Region: region},
	}
	n.quota = &quota.Quota{Clock: c, Account: n.account, Grant: n.grant, Hold: f.Hold, Borrow: n.borrow}
	n.holding = &holding.Holding{
		Clock: c, Self: n.self, Hold: f.Hold, StoreHold: f.StoreHold, Every: f.Heartbeat, Changing: n.quota.Sync,
		Owed: loanFor + loanFor/10,
	}
	n.demand = &demand.Demand{Clock: c, Hold: f.Hold, Account: n.account}
	n.author = &author.Author{
		Clock: c, Log: f.logger, Platform: f.platform(number), Holding: n.holding, Alive: n.alive,
		Config: func() *config.Config { return f.Config }, Demand: n.demand.Fractions, Listed: f.listed, Every: f.Poll, Least: f.Least,
	}
	return n
}

// Holding returns a process's holding, with its clock set.
func (f *Simulation) Holding(host int) *holding.Holding {
	n := f.nodes[host]
	n.clock.set(f.now)
	return n.holding
}

// Quota returns a process's quota, with its clock set.
func (f *Simulation) Quota(host int) *quota.Quota {
	n := f.nodes[host]
	n.clock.set(f.now)
	return n.quota
}

func (n *node) account(name string) (account.Account, bool) {
	a, ok := n.simulation.accounts()[name]
	return a, ok
}

func (n *node) grant(name string) grant.Grant {
	if n.simulation.Fixed != nil {
		return n.simulation.Fixed(n.number, name)
	}
	g := n.holding.Rate(name)
	if n.simulation.Grant != nil {
		g = n.simulation.Grant(g)
	}
	return g
}

// do runs g on the process: never when it is dead, later when it is paused.
func (n *node) do(g func()) {
	if n.dead {
		return
	}
	if n.paused {
		n.late = append(n.late, func() { n.do(g) })
		return
	}
	n.clock.set(n.simulation.now)
	g()
}

// beat exchanges heartbeats with all others.
func (n *node) beat() {
	n.do(func() {
		n.holding.Tick()
		n.known = n.near()
		n.report()
		for _, p := range n.simulation.nodes {
			if p != n && !p.dead {
				n.exchange(p)
			}
		}
		n.fetch()
		n.simulation.at(n.simulation.Heartbeat, n.beat)
	})
}

func (n *node) report() {
	t := n.clock.Now()
	if d := t.Sub(n.told); d >= time.Second {
		n.told = t
		n.demand.Note(n.self.Name, n.quota.Demands(min(d, time.Minute)))
	}
}

func (n *node) exchange(p *node) {
	f := n.simulation
	f.Messages++
	t, m := n.clock.Now(), n.message()
	d, ok := f.Delay(n.number, p.number)
	if !ok {
		return
	}
	f.at(d, func() {
		p.do(func() {
			p.note(m, time.Time{})
			a := p.message()
			if e, ok := f.Delay(p.number, n.number); ok {
				f.at(e, func() { n.do(func() { n.note(a, t) }) })
			}
		})
	})
}

func (n *node) message() message {
	return message{
		from: n, epoch: n.holding.Report(), leaves: n.leaving, known: n.known, demand: n.demand.Of(n.self.Name),
	}
}

func (n *node) note(m message, sent time.Time) {
	n.heard[m.from.self.Name] = contact{holder: m.from.self, number: m.from.number, at: n.clock.Now(), known: m.known, leaves: m.leaves}
	n.demand.Note(m.from.self.Name, m.demand)
	e := m.epoch
	if n.simulation.Report != nil {
		e = n.simulation.Report(e, n.holding.Epoch())
	}
	n.holding.Heard(m.from.self.Name, m.from.self.Incarnation, e, sent)
	n.fetch()
}

// fetch takes a newer division from whoever has it. The content travels with
// the next message that arrives, without a delay of its own.
func (n *node) fetch() {
	if n.holding.Wanted() <= n.holding.Epoch() {
		return
	}
	for _, p := range n.simulation.nodes {
		if p == n || p.dead || p.paused || p.holding.Epoch() <= n.holding.Epoch() {
			continue
		}
		if _, ok := n.simulation.Delay(n.number, p.number); !ok {
			continue
		}
		if d, ok := p.holding.Current(); ok {
			n.holding.Learn(d, time.Time{})
		}
	}
}

// poll reads the table. The answer can come late.
func (n *node) poll() {
	n.do(func() {
		f := n.simulation
		t := n.clock.Now()
		if d, ok := f.late(n.number); ok {
			if e, ok := f.Delay(n.number, n.number); ok {
				f.at(e, func() { n.do(func() { n.holding.Learn(d, t) }) })
			}
		}
		n.author.Step(context.Background())
		f.at(f.Poll, n.poll)
	})
}

// near returns the processes that this one heard itself within Hold, and that
// do not leave.
func (n *node) near() []holder.Holder {
	var r []holder.Holder
	if !n.leaving {
		r = append(r, n.self)
	}
	for _, c := range n.heard {
		if !c.leaves && n.clock.Since(c.at) <= n.simulation.Hold {
			r = append(r, c.holder)
		}
	}
	sort.Slice(r, func(i, j int) bool { return r[i].Name < r[j].Name })
	return r
}

// alive returns those and what they have heard in their turn.
func (n *node) alive() []holder.Holder {
	m := map[string]holder.Holder{}
	for _, c := range n.heard {
		if n.clock.Since(c.at) > n.simulation.Hold {
			continue
		}
		for _, h := range c.known {
			if c := n.heard[h.Name]; c.leaves && c.holder == h {
				continue
			}
			if h.Incarnation > m[h.Name].Incarnation {
				m[h.Name] = h
			}
		}
	}
	for _, h := range n.near() {
		if h.Incarnation >= m[h.Name].Incarnation {
			m[h.Name] = h
		}
	}
	r := make([]holder.Holder, 0, len(m))
	for _, h := range m {
		r = append(r, h)
	}
	sort.Slice(r, func(i, j int) bool { return r[i].Name < r[j].Name })
	return r
}

// borrow asks other hosts in turn, as package loan does with sockets.
func (n *node) borrow(name string, units uint64) {
	n.simulation.at(0, func() {
		n.do(func() { n.ask(name, units, n.lenders(name)) })
	})
}

func (n *node) ask(name string, units uint64, l []*node) {
	if len(l) == 0 {
		n.quota.Receive(name, units, 0, time.Time{})
		return
	}
	f, p, t := n.simulation, l[0], n.clock.Now()
	f.Messages++
	// Without an answer the next one is asked when the loan would have ended.
	a := false
	v := func(u uint64, d time.Duration) {
		if a {
			return
		}
		a = true
		if u == 0 {
			n.ask(name, units, l[1:])
			return
		}
		n.quota.Receive(name, units, u, t.Add(d-d/50))
	}
	f.at(loanFor, func() { n.do(func() { v(0, 0) }) })
	d, ok := f.Delay(n.number, p.number)
	if !ok {
		return
	}
	f.at(d, func() {
		p.do(func() {
			u, x := p.quota.Lend(name, units, loanFor)
			if f.Lent != nil {
				f.Lent(p.quota, name, u)
			}
			if e, ok := f.Delay(p.number, n.number); ok {
				f.at(e, func() { n.do(func() { v(u, x) }) })
			}
		})
	})
}

// lenders returns whom to ask among those that were heard lately.
func (n *node) lenders(name string) []*node {
	var l []holder.Holder
	for _, h := range n.near() {
		if c, ok := n.heard[h.Name]; ok && n.clock.Since(c.at) <= n.simulation.Heartbeat*3 {
			l = append(l, h)
		}
	}
	r := division.RatePrefix + name
	d, _ := n.holding.Current()
	var p []*node
	for _, h := range loan.Lenders(n.self, l, d, r, n.demand.Fractions()[r]) {
		if len(p) < loan.Tries {
			p = append(p, n.simulation.nodes[n.heard[h.Name].number])
		}
	}
	return p
}
