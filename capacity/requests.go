package capacity

import (
	"context"
	"net/http"
	"net/url"
	"runtime"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/burncounter"
	"celeryreach.example/celeryreach/grant"
	"celeryreach.example/celeryreach/loadstats"
	"celeryreach.example/celeryreach/lookup"
	"celeryreach.example/celeryreach/measurement"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/plan"
	"celeryreach.example/celeryreach/quota"
	"celeryreach.example/celeryreach/record"
	"celeryreach.example/celeryreach/roster"
	"celeryreach.example/celeryreach/snapshot"
	"celeryreach.example/celeryreach/ticketstore"
	"celeryreach.example/celeryreach/wire"
)

func members(n int) []member.Member {
	r := make([]member.Member, n)
	for i := range r {
		r[i] = newMember(i)
	}
	return r
}

func slotsPerService(string) int {
	return 60
}

func (c *Capacity) rosterTime(n int) float64 {
	m := members(n)
	return measurement.Time(c.Clock, func() { roster.New(m, slotsPerService) })
}

// lookupTime measures the look-up handler. The time that net/http takes to read and
// write the connection is not included, because every HTTP handler has that cost.
func (c *Capacity) lookupTime(n int) float64 {
	s := snapshot.New(newConfig(1), "")
	r := roster.New(members(n), slotsPerService)
	t := newBlocks(10_000)
	p := new(plan.Plan)
	l := &lookup.Lookup{
		Snapshot: func() *snapshot.Snapshot { return s }, Plan: func() *plan.Plan { return p },
		Hosts: func() *roster.Roster { return r }, Block: t.Find, DefaultRegion: "region-0",
		IsRegionLost: func(string) bool { return false }, MovedPoints: func(string, string) int { return 0 },
		LastKnownHosts: func(string) []member.Member { return nil },
		OnLookup:       func(string, string) {}, Random: func() float64 { return 0.5 },
	}
	u := &url.URL{Path: "/lookup"}
	h := &http.Request{Method: http.MethodGet, URL: u}
	w := discardWriter{}
	i := 0
	return measurement.Time(c.Clock, func() {
		i += 7919 // a prime stride, to avoid cache hits
		u.RawQuery = "service=service-0&account=" + accountName(i%100) + "&address=" + blockAddress(i%10_000).String()
		l.ServeHTTP(w, h)
	})
}

func (c *Capacity) newQuota(n int) *quota.Quota {
	s := snapshot.New(newConfig(n), "")
	o := c.Clock.Now()
	g := grant.Grant{Floor: 1, FloorSince: o, FloorUntil: o.Add(1000 * holdTime), FirstUse: true}
	return &quota.Quota{Clock: c.Clock, Account: s.Account, Grant: func(string) grant.Grant { return g }, Hold: holdTime}
}

func (c *Capacity) admitTime(n int) float64 {
	q := c.newQuota(n)
	a := make([]string, n)
	for i := range a {
		a[i] = accountName(i)
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
			q.Take(accountName(i))
		}
		return q
	})
}

// loadSumTime measures how long the planner takes to sum up the loads of n hosts.
func (c *Capacity) loadSumTime(n int) float64 {
	g := &loadstats.Loadstats{Clock: c.Clock, Window: holdTime, Timeout: 1000 * holdTime}
	for i := range n {
		h := newHeartbeat(0, 0)
		h.From = newHost(i)
		g.Record(h)
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
	t := &ticketstore.Ticketstore{
		Clock: c.Clock, Host: "host", Incarnation: 1, Lifetime: 1000 * holdTime, MaxAnswerBytes: 1 << 30, MaxUsed: n + 1,
		HostAddress: func(string, uint64) (string, bool) { return "", false },
	}
	return measurement.Bytes(func() any {
		for _, id := range t.Issue("account", n) {
			r, _ := t.Begin(context.Background(), "account", id, id, "")
			r.State = record.Done
			t.End("account", id, r)
		}
		return t
	})
}

// countSize measures the memory of the burn report's counts for one minute, with n
// accounts active in each second.
func countSize(n int) float64 {
	c := clockwork.NewFakeClock()
	b := &burncounter.Burncounter{
		Clock: c, Latency: func(string) time.Duration { return time.Second },
		SlotLoads: func() []*wire.Load { return nil },
	}
	o := outcome.Outcome{Outcome: outcome.Answered, Ran: outcome.RanYes}
	return measurement.Bytes(func() any {
		for range 60 {
			for i := range n {
				b.Record(accountName(i), "service-0", o, time.Millisecond)
			}
			c.Advance(time.Second)
		}
		return b
	})
}

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter http.Header

// Header implements http.ResponseWriter.
func (d discardWriter) Header() http.Header {
	return http.Header(d)
}

// Write implements http.ResponseWriter.
func (d discardWriter) Write(b []byte) (int, error) {
	return len(b), nil
}

// WriteHeader implements http.ResponseWriter.
func (d discardWriter) WriteHeader(int) {}
