package capacity

import (
	"context"
	"net/http"
	"net/url"
	"runtime"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/burn"
	"celeryreach.example/celeryreach/gauge"
	"celeryreach.example/celeryreach/grant"
	"celeryreach.example/celeryreach/lookup"
	"celeryreach.example/celeryreach/measurement"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/plan"
	"celeryreach.example/celeryreach/quota"
	"celeryreach.example/celeryreach/record"
	"celeryreach.example/celeryreach/roster"
	"celeryreach.example/celeryreach/snapshot"
	"celeryreach.example/celeryreach/ticket"
	"celeryreach.example/celeryreach/wire"
)

func members(n int) []member.Member {
	r := make([]member.Member, n)
	for i := range r {
		r[i] = newMember(i)
	}
	return r
}

func slots(string) int {
	return 60
}

func (c *Capacity) rosterTime(n int) float64 {
	m := members(n)
	return measurement.Time(c.Clock, func() { roster.New(m, slots) })
}

// lookupTime is the handler's time. It leaves out the reading and writing of the
// connection by net/http, a cost of every answer and not of steering.
func (c *Capacity) lookupTime(n int) float64 {
	s := snapshot.New(newConfig(1), "")
	r := roster.New(members(n), slots)
	t := newBlocks(10_000)
	p := new(plan.Plan)
	l := &lookup.Lookup{
		Snapshot: func() *snapshot.Snapshot { return s }, Plan: func() *plan.Plan { return p },
		Hosts: func() *roster.Roster { return r }, Block: t.Find, Home: "region-0",
		Lost: func(string) bool { return false }, Moved: func(string, string) int { return 0 },
		Last:  func(string) []member.Member { return nil },
		Asked: func(string, string) {}, Random: func() float64 { return 0.5 },
	}
	u := &url.URL{Path: "/lookup"}
	h := &http.Request{Method: http.MethodGet, URL: u}
	w := discard{}
	i := 0
	return measurement.Time(c.Clock, func() {
		i += 7919 // a prime, so that caches do not answer
		u.RawQuery = "service=service-0&account=" + newName(i%100) + "&address=" + address(i%10_000).String()
		l.ServeHTTP(w, h)
	})
}

func (c *Capacity) newQuota(n int) *quota.Quota {
	s := snapshot.New(newConfig(n), "")
	o := c.Clock.Now()
	g := grant.Grant{Floor: 1, FloorSince: o, FloorUntil: o.Add(1000 * hold), Unused: true}
	return &quota.Quota{Clock: c.Clock, Account: s.Account, Grant: func(string) grant.Grant { return g }, Hold: hold}
}

func (c *Capacity) admitTime(n int) float64 {
	q := c.newQuota(n)
	a := make([]string, n)
	for i := range a {
		a[i] = newName(i)
	}
	i := 0
	return measurement.Time(c.Clock, func() {
		i++
		q.Take(a[i%n])
	})
}

func (c *Capacity) admitSize(n int) float64 {
	q := c.newQuota(n)
	return measurement.Bytes(func() any {
		for i := range n {
			q.Take(newName(i))
		}
		return q
	})
}

// gaugeTime is what the planner spends to sum up the loads of n hosts.
func (c *Capacity) gaugeTime(n int) float64 {
	g := &gauge.Gauge{Clock: c.Clock, Window: hold, Hold: 1000 * hold}
	for i := range n {
		h := beat(0, 0)
		h.From = newHost(i)
		g.Note(h)
	}
	s := []string{"service-0", "service-1", "service-2"}
	var r []string
	for i := range 9 {
		r = append(r, newMember(i).Region)
	}
	d := measurement.Time(c.Clock, func() { g.Observe(s, r) })
	runtime.KeepAlive(g)
	return d
}

func (c *Capacity) ticketSize(n int) float64 {
	t := &ticket.Ticket{
		Clock: c.Clock, Host: "host", Incarnation: 1, Lifetime: 1000 * hold, Bytes: 1 << 30, Limit: n + 1,
		Find: func(string, uint64) (string, bool) { return "", false },
	}
	return measurement.Bytes(func() any {
		for _, id := range t.Mint("account", n) {
			r, _ := t.Begin(context.Background(), "account", id, id, "")
			r.State = record.Done
			t.End("account", id, r)
		}
		return t
	})
}

// countSize is what the burn report's counts of one minute take.
func countSize(n int) float64 {
	c := clockwork.NewFakeClock()
	b := &burn.Burn{
		Clock: c, Latency: func(string) time.Duration { return time.Second },
		Loads: func() []*wire.Load { return nil },
	}
	o := outcome.Outcome{Outcome: outcome.Answered, Ran: outcome.RanYes}
	return measurement.Bytes(func() any {
		for range 60 {
			for i := range n {
				b.Record(newName(i), "service-0", o, time.Millisecond)
			}
			c.Advance(time.Second)
		}
		return b
	})
}

// discard is a ResponseWriter for nobody.
type discard http.Header

// Header returns the header.
func (d discard) Header() http.Header {
	return http.Header(d)
}

// Write drops the body.
func (d discard) Write(b []byte) (int, error) {
	return len(b), nil
}

// WriteHeader drops the status.
func (d discard) WriteHeader(int) {}
