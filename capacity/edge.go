package capacity

import (
	"context"
	"fmt"
	"time"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/coldpace"
	"celeryreach.example/celeryreach/measurement"
	"celeryreach.example/celeryreach/placement"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/result"
	"celeryreach.example/celeryreach/role"
	"celeryreach.example/celeryreach/service"
	"celeryreach.example/celeryreach/tokens"
)

// What a host on the users' platform keeps and does.
const (
	placeTime  = "request placed, by backend servers of the service"
	listTime   = "list of backend servers taken, by backend servers"
	tokenBytes = "buckets in memory, by accounts"
	tokenTime  = "token taken, by accounts"
	// entryBytes is a backend server's entry on the wire.
	entryBytes = 250
	// listedServers is a region's backend servers: those of 94 sites, three
	// services of four each.
	listedServers = 1_128
	// listChanges is the changes of a region's list in a second, when each
	// backend server is replaced once a day and comes, warms up and leaves.
	listChanges = listedServers * 4 / 86_400.0
)

func newPlacement(c *Capacity, n int) *placement.Placement {
	h := []string{"host-0", "host-1"}
	p := &placement.Placement{
		Clock: c.Clock, Region: "region-0", Far: 0.15,
		Pace: &coldpace.Coldpace{Self: h[0], Hosts: func() []string { return h }, Overage: 1.5, Slack: 5},
		Rate: func(string) (float64, time.Duration) { return 10, time.Second },
	}
	p.Set(servers(n), warm)
	return p
}

func servers(n int) []backend.Backend {
	l := make([]backend.Backend, n)
	for i := range l {
		l[i] = backend.Backend{
			Name: fmt.Sprint("backend-", i), Service: "service-0", Slots: 6, Region: fmt.Sprint("region-", i%3),
		}
	}
	return l
}

func warm(string) time.Time {
	return time.Time{}
}

func (c *Capacity) placeTime(n int) float64 {
	p := newPlacement(c, n)
	i := 0
	return measurement.Time(c.Clock, func() {
		i++
		r := &request.Request{ID: fmt.Sprint(i), Object: fmt.Sprint(i % 1000), Service: service.Service{Name: "service-0"}}
		if b, ok, _ := p.Take(r); ok {
			p.Release(b.Name, r, result.Succeeded)
		}
	})
}

func (c *Capacity) listTime(n int) float64 {
	p := newPlacement(c, n)
	l := servers(n)
	return measurement.Time(c.Clock, func() { p.Set(l, warm) })
}

func (c *Capacity) newTokens(n int) *tokens.Tokens {
	t := &tokens.Tokens{Clock: c.Clock, Self: newName(0), Hosts: func() []string { return []string{newName(0)} }}
	l := make([]account.Account, n)
	for i := range l {
		l[i] = account.Account{Name: newName(i), Rate: 1e9, Burst: 1e6}
	}
	t.Set(l)
	return t
}

func (c *Capacity) tokenTime(n int) float64 {
	t := c.newTokens(n)
	i := 0
	return measurement.Time(c.Clock, func() {
		i += 7919 // a prime, so that caches do not answer
		t.Take(context.Background(), newName(i%n), 0)
	})
}

func (c *Capacity) placement() role.Role {
	t := c.Target
	return role.Role{
		Name: "placement", State: listedServers * entryBytes * 4, Traffic: listChanges * entryBytes,
		Core:    (t.Lookups/t.Nodes*c.at(placeTime, domainBackends) + listChanges*c.at(listTime, listedServers)) / nanos,
		Carries: "rendezvous hashing over a service's backend servers in reach; changes by the store's feed",
		Breaks:  "every host follows the whole list: 10,200 backend servers, and as many hosts that ask the store; a list for each region, and relays",
	}
}

func (c *Capacity) tokens() role.Role {
	t := c.Target
	return role.Role{
		Name: "tokens", State: c.at(tokenBytes, siteAccounts), Core: t.Lookups / t.Nodes * c.at(tokenTime, siteAccounts) / nanos,
		Carries: "a bucket an account of the site on a few holders, which other hosts ask when a request waits",
		Breaks:  "holders are drawn from all hosts: most requests would borrow from another region; holders have to follow the sites that an account uses",
	}
}
