package simulation

import (
	"context"
	"sort"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/demand"
	"celeryreach.example/celeryreach/division"
	"celeryreach.example/celeryreach/divisionwriter"
	"celeryreach.example/celeryreach/entitlement"
	"celeryreach.example/celeryreach/grant"
	"celeryreach.example/celeryreach/holder"
	"celeryreach.example/celeryreach/loan"
	"celeryreach.example/celeryreach/quota"
)

// loanDuration is how long loans last in the simulation.
const loanDuration = 250 * time.Millisecond

// node is one simulated process.
type node struct {
	simulation       *Simulation
	number           int
	self             holder.Holder
	clock            *clock
	dead             bool
	diedAt           time.Time
	leaving          bool
	paused           bool
	deferred         []func() // calls that run after the pause
	entitlement      *entitlement.Entitlement
	divisionWriter   *divisionwriter.Divisionwriter
	quota            *quota.Quota
	demand           *demand.Demand
	demandReportedAt time.Time
	// aliveAtHeartbeat are the processes that the last heartbeat reported as
	// alive.
	aliveAtHeartbeat []holder.Holder
	contacts         map[string]contact
}

// contact is the newest heartbeat received from a host.
type contact struct {
	holder     holder.Holder
	number     int
	receivedAt time.Time
	alive      []holder.Holder
	leaving    bool
}

// heartbeat is a heartbeat message or the response to one.
type heartbeat struct {
	from    *node
	epoch   uint64
	leaving bool
	alive   []holder.Holder
	demand  map[string]float64
}

func newNode(f *Simulation, number int, name, domain, region string, speed float64) *node {
	c := &clock{FakeClock: clockwork.NewFakeClockAt(f.now), began: f.now, speed: speed}
	n := &node{
		simulation: f, number: number, clock: c, contacts: make(map[string]contact),
		self: holder.Holder{Name: name, Incarnation: uint64(number + 1), Domain: domain, Region: region},
	}
	n.quota = &quota.Quota{Clock: c, Account: n.account, Grant: n.grant, Hold: f.Hold, Borrow: n.startLoanRequest}
	n.entitlement = &entitlement.Entitlement{
		Clock: c, Self: n.self, Hold: f.Hold, StoreHold: f.StoreHold, TickInterval: f.Heartbeat, BeforeChange: n.quota.RefillAll,
		LoanDuration: loanDuration + loanDuration/10,
	}
	n.demand = &demand.Demand{Clock: c, Hold: f.Hold, Account: n.account}
	n.divisionWriter = &divisionwriter.Divisionwriter{
		Clock: c, Log: f.logger, Store: f.storeFor(number), Entitlement: n.entitlement, Alive: n.alive,
		Config: func() *config.Config { return f.Config }, Demand: n.demand.Fractions, IsListed: f.listed, ReadInterval: f.Poll, MinEpochInterval: f.MinEpochInterval,
	}
	return n
}

// Entitlement returns the entitlement of a process, with its clock set to the current
// time.
func (f *Simulation) Entitlement(host int) *entitlement.Entitlement {
	n := f.nodes[host]
	n.clock.set(f.now)
	return n.entitlement
}

// Quota returns the quota of a process, with its clock set to the current time.
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
	if n.simulation.FixedGrant != nil {
		return n.simulation.FixedGrant(n.number, name)
	}
	g := n.entitlement.Rate(name)
	if n.simulation.Grant != nil {
		g = n.simulation.Grant(g)
	}
	return g
}

// execute runs g on the process: never if it is dead, after the pause if it is
// paused.
func (n *node) execute(g func()) {
	if n.dead {
		return
	}
	if n.paused {
		n.deferred = append(n.deferred, func() { n.execute(g) })
		return
	}
	n.clock.set(n.simulation.now)
	g()
}

// sendHeartbeats exchanges heartbeats with all other processes.
func (n *node) sendHeartbeats() {
	n.execute(func() {
		n.entitlement.Tick()
		n.aliveAtHeartbeat = n.directlyAlive()
		n.reportDemand()
		for _, p := range n.simulation.nodes {
			if p != n && !p.dead {
				n.exchangeHeartbeats(p)
			}
		}
		n.fetchDivision()
		n.simulation.schedule(n.simulation.Heartbeat, n.sendHeartbeats)
	})
}

func (n *node) reportDemand() {
	t := n.clock.Now()
	if d := t.Sub(n.demandReportedAt); d >= time.Second {
		n.demandReportedAt = t
		n.demand.Record(n.self.Name, n.quota.Demands(min(d, time.Minute)))
	}
}

func (n *node) exchangeHeartbeats(p *node) {
	f := n.simulation
	f.Messages++
	t, m := n.clock.Now(), n.newHeartbeat()
	d, ok := f.Delay(n.number, p.number)
	if !ok {
		return
	}
	f.schedule(d, func() {
		p.execute(func() {
			p.receiveHeartbeat(m, time.Time{})
			a := p.newHeartbeat()
			if e, ok := f.Delay(p.number, n.number); ok {
				f.schedule(e, func() { n.execute(func() { n.receiveHeartbeat(a, t) }) })
			}
		})
	})
}

func (n *node) newHeartbeat() heartbeat {
	return heartbeat{
		from: n, epoch: n.entitlement.ReportEpoch(), leaving: n.leaving, alive: n.aliveAtHeartbeat, demand: n.demand.ForHost(n.self.Name),
	}
}

func (n *node) receiveHeartbeat(m heartbeat, sent time.Time) {
	n.contacts[m.from.self.Name] = contact{holder: m.from.self, number: m.from.number, receivedAt: n.clock.Now(), alive: m.alive, leaving: m.leaving}
	n.demand.Record(m.from.self.Name, m.demand)
	e := m.epoch
	if n.simulation.ReportEpoch != nil {
		e = n.simulation.ReportEpoch(e, n.entitlement.Epoch())
	}
	n.entitlement.RecordPeerEpoch(m.from.self.Name, m.from.self.Incarnation, e, sent)
	n.fetchDivision()
}

// fetchDivision takes a newer division from any reachable process that has one.
// Its content is transferred without additional delay, as part of the message
// that is being processed.
func (n *node) fetchDivision() {
	if n.entitlement.HighestKnownEpoch() <= n.entitlement.Epoch() {
		return
	}
	for _, p := range n.simulation.nodes {
		if p == n || p.dead || p.paused || p.entitlement.Epoch() <= n.entitlement.Epoch() {
			continue
		}
		if _, ok := n.simulation.Delay(n.number, p.number); !ok {
			continue
		}
		if d, ok := p.entitlement.Current(); ok {
			n.entitlement.ApplyDivision(d, time.Time{})
		}
	}
}

// pollTable reads the table. The response can be delayed.
func (n *node) pollTable() {
	n.execute(func() {
		f := n.simulation
		t := n.clock.Now()
		if d, ok := f.readLate(n.number); ok {
			if e, ok := f.Delay(n.number, n.number); ok {
				f.schedule(e, func() { n.execute(func() { n.entitlement.ApplyDivision(d, t) }) })
			}
		}
		n.divisionWriter.Step(context.Background())
		f.schedule(f.Poll, n.pollTable)
	})
}

// directlyAlive returns this process and the processes that sent it a heartbeat
// within Hold, without processes that shut down.
func (n *node) directlyAlive() []holder.Holder {
	var r []holder.Holder
	if !n.leaving {
		r = append(r, n.self)
	}
	for _, c := range n.contacts {
		if !c.leaving && n.clock.Since(c.receivedAt) <= n.simulation.Hold {
			r = append(r, c.holder)
		}
	}
	sort.Slice(r, func(i, j int) bool { return r[i].Name < r[j].Name })
	return r
}

// alive returns the processes of directlyAlive and the processes that they
// reported as alive.
func (n *node) alive() []holder.Holder {
	m := map[string]holder.Holder{}
	for _, c := range n.contacts {
		if n.clock.Since(c.receivedAt) > n.simulation.Hold {
			continue
		}
		for _, h := range c.alive {
			if c := n.contacts[h.Name]; c.leaving && c.holder == h {
				continue
			}
			if h.Incarnation > m[h.Name].Incarnation {
				m[h.Name] = h
			}
		}
	}
	for _, h := range n.directlyAlive() {
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

// startLoanRequest requests tokens from other hosts one after another, like
// package loan does over the network.
func (n *node) startLoanRequest(name string, units uint64) {
	n.simulation.schedule(0, func() {
		n.execute(func() { n.requestLoan(name, units, n.lenders(name)) })
	})
}

func (n *node) requestLoan(name string, units uint64, l []*node) {
	if len(l) == 0 {
		n.quota.Receive(name, units, 0, time.Time{})
		return
	}
	f, p, t := n.simulation, l[0], n.clock.Now()
	f.Messages++
	// If no response arrives, the next lender is tried when the loan would have
	// ended.
	a := false
	v := func(u uint64, d time.Duration) {
		if a {
			return
		}
		a = true
		if u == 0 {
			n.requestLoan(name, units, l[1:])
			return
		}
		n.quota.Receive(name, units, u, t.Add(d-d/50))
	}
	f.schedule(loanDuration, func() { n.execute(func() { v(0, 0) }) })
	d, ok := f.Delay(n.number, p.number)
	if !ok {
		return
	}
	f.schedule(d, func() {
		p.execute(func() {
			u, x := p.quota.Lend(name, units, loanDuration)
			if f.OnLent != nil {
				f.OnLent(p.quota, name, u)
			}
			if e, ok := f.Delay(p.number, n.number); ok {
				f.schedule(e, func() { n.execute(func() { v(u, x) }) })
			}
		})
	})
}

// lenders returns the hosts to request a loan from, among those with a recent
// heartbeat.
func (n *node) lenders(name string) []*node {
	var l []holder.Holder
	for _, h := range n.directlyAlive() {
		if c, ok := n.contacts[h.Name]; ok && n.clock.Since(c.receivedAt) <= n.simulation.Heartbeat*3 {
			l = append(l, h)
		}
	}
	r := division.RatePrefix + name
	d, _ := n.entitlement.Current()
	var p []*node
	for _, h := range loan.Lenders(n.self, l, d, r, n.demand.Fractions()[r]) {
		if len(p) < loan.MaxLenders {
			p = append(p, n.simulation.nodes[n.contacts[h.Name].number])
		}
	}
	return p
}
