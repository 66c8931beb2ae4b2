package capacity

import (
	"context"
	"fmt"
	"time"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/coldrate"
	"celeryreach.example/celeryreach/componentcost"
	"celeryreach.example/celeryreach/measurement"
	"celeryreach.example/celeryreach/placement"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/result"
	"celeryreach.example/celeryreach/service"
	"celeryreach.example/celeryreach/tokens"
)

// Costs of a host on the users' platform: placement of requests on backend
// servers, and token buckets.
const (
	placeTime  = "request placed, by backend servers of the service"
	listTime   = "list of backend servers taken, by backend servers"
	tokenBytes = "buckets in memory, by accounts"
	tokenTime  = "token taken, by accounts"
	// backendEntryBytes is the encoded size of a backend server's list entry.
	backendEntryBytes = 250
	// regionBackends is the number of backend servers in a region: 94 sites with
	// three services each, and four backend servers per service.
	regionBackends = 1_128
	// regionBackendChanges is the number of changes per second to a region's list.
	// Each backend server is replaced once a day. A replacement changes the list
	// four times while a backend server appears, warms up and leaves.
	regionBackendChanges = regionBackends * 4 / 86_400.0
)

func newPlacement(c *Capacity, n int) *placement.Placement {
	h := []string{"host-0", "host-1"}
	p := &placement.Placement{
		Clock: c.Clock, Region: "region-0", RemoteWeight: 0.15,
		ColdRate:     &coldrate.Coldrate{Self: h[0], Hosts: func() []string { return h }, Overage: 1.5, Slack: 5},
		ColdCapacity: func(string) (float64, time.Duration) { return 10, time.Second },
	}
	p.Set(newBackends(n), noColdPeriod)
	return p
}

func newBackends(n int) []backend.Backend {
	l := make([]backend.Backend, n)
	for i := range l {
		l[i] = backend.Backend{
			Name: fmt.Sprint("backend-", i), Service: "service-0", Slots: 6, Region: fmt.Sprint("region-", i%3),
		}
	}
	return l
}

// noColdPeriod returns the zero time, which means that a backend server is warm.
func noColdPeriod(string) time.Time {
	return time.Time{}
}

func (c *Capacity) placeTime(n int) float64 {
	p := newPlacement(c, n)
	i := 0
	return measurement.Time(c.Clock, func() {
		i++
		r := &request.Request{ID: fmt.Sprint(i), Object: fmt.Sprint(i % 1000), Service: service.Service{Name: "service-0"}}
		if b, ok, _ := p.Acquire(r); ok {
			p.Release(b.Name, r, result.Succeeded)
		}
	})
}

func (c *Capacity) listTime(n int) float64 {
	p := newPlacement(c, n)
	l := newBackends(n)
	return measurement.Time(c.Clock, func() { p.Set(l, noColdPeriod) })
}

func (c *Capacity) newTokens(n int) *tokens.Tokens {
	t := &tokens.Tokens{Clock: c.Clock, Self: accountName(0), Hosts: func() []string { return []string{accountName(0)} }}
	l := make([]account.Account, n)
	for i := range l {
		l[i] = account.Account{Name: accountName(i), Rate: 1e9, Burst: 1e6}
	}
	t.Set(l)
	return t
}

func (c *Capacity) tokenTime(n int) float64 {
	t := c.newTokens(n)
	i := 0
	return measurement.Time(c.Clock, func() {
		i += 7919 // a prime stride, to avoid cache hits
		t.Take(context.Background(), accountName(i%n), 0)
	})
}

func (c *Capacity) placement() componentcost.Componentcost {
	t := c.Target
	return componentcost.Componentcost{
		Name: "placement", Memory: regionBackends * backendEntryBytes * 4, Traffic: regionBackendChanges * backendEntryBytes,
		Core:       (t.Lookups/t.Hosts*c.costAt(placeTime, domainBackends) + regionBackendChanges*c.costAt(listTime, regionBackends)) / nanosPerSecond,
		Mechanism:  "rendezvous hashing over a service's backend servers in reach; changes by the store's feed",
		Bottleneck: "every host follows the whole list: 10,200 backend servers, and as many hosts that ask the store; a list for each region, and relays",
	}
}

func (c *Capacity) tokens() componentcost.Componentcost {
	t := c.Target
	return componentcost.Componentcost{
		Name: "tokens", Memory: c.costAt(tokenBytes, siteAccounts), Core: t.Lookups / t.Hosts * c.costAt(tokenTime, siteAccounts) / nanosPerSecond,
		Mechanism:  "a bucket an account of the site on a few holders, which other hosts ask when a request waits",
		Bottleneck: "holders are drawn from all hosts: most requests would borrow from another region; holders have to follow the sites that an account uses",
	}
}
