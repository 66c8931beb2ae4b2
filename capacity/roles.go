package capacity

import (
	"fmt"

	"celeryreach.example/celeryreach/role"
)

// What the page assumes beyond the stated target. The page repeats it.
const (
	// accounts is the number of client accounts.
	accounts = 100_000
	// siteAccounts is how many of them send through one site.
	siteAccounts = 1_000
	// beatSeconds is the time between two heartbeats to a peer.
	beatSeconds = 1.5
	// farSeconds is the time between heartbeats of those who speak for a site or
	// a domain. Hold is three of them: their part of a limit moves within 12 s.
	farSeconds = 4.0
	// beatDemands is how many accounts' demands changed since the last one.
	beatDemands = 2
	// pollers is how many hosts of a domain read the table each second.
	pollers = 2
	// epochGap is the least seconds between two divisions of one domain.
	epochGap = 10.0
	// epochChange is the fraction of the parts that a division changes.
	epochChange = 0.01
	// changeBytes is the size of a change with its envelope on the wire.
	changeBytes = 400
	// relayFanout is to how many hosts a host passes a change on.
	relayFanout = 4
	// planSeconds is the time between two plans.
	planSeconds = 30.0
	// nonIdempotent is the requests per second over all hosts that carry
	// callers' own ids; more than that have to use tickets.
	nonIdempotent = 100
	// ticketsHeld is the used tickets that a host remembers.
	ticketsHeld = 20_000
	// limitedAccounts is how many of a site's accounts are at their limit.
	limitedAccounts = 20
	// hourMinutes is the minutes for which seconds are kept.
	hourMinutes = 60
	// keepSeconds is the time between two writes of kept counts.
	keepSeconds = 300.0
	// waiting is how many requests wait at a host; as many requests as look-ups
	// pass through it.
	waiting = 10_000
	// domainBackends is the backend servers of a service in a failure domain.
	domainBackends = 40
	nanos          = 1e9
)

// at returns a measured cost at size n.
func (c *Capacity) at(name string, n float64) float64 {
	return c.slopes[name].At(n)
}

// siblings is how many other hosts a site has.
func (c *Capacity) siblings() float64 {
	return c.Target.Nodes/c.Target.Sites - 1
}

func (c *Capacity) roles() []role.Role {
	return []role.Role{
		c.lookup(), c.admission(), c.queue(), c.balancer(), c.membership(), c.quota(), c.configuration(), c.planner(), c.idempotency(), c.burn(),
		c.placement(), c.tokens(),
	}
}

func (c *Capacity) lookup() role.Role {
	t := c.Target
	return role.Role{
		Name: "look-up", State: c.at(blockBytes, t.Blocks) + c.at(memberBytes, t.Nodes),
		Core: t.Lookups/t.Nodes*c.at(lookupTime, t.Nodes/t.Regions)/nanos +
			2*t.Replaced*c.at(rosterTime, t.Nodes)/nanos,
		Carries: "radix tree of client blocks; roster made anew when a host comes or goes; an account's hosts remembered",
		Breaks:  "the roster comes from heartbeats of everybody; it has to come as a versioned content",
	}
}

func (c *Capacity) admission() role.Role {
	t := c.Target
	return role.Role{
		Name: "admission", State: c.at(admitBytes, siteAccounts),
		Core:    t.Lookups / t.Nodes * c.at(admitTime, accounts) / nanos,
		Carries: "buckets made on first use; one hash a request",
	}
}

func (c *Capacity) queue() role.Role {
	t := c.Target
	return role.Role{
		Name: "queue", State: c.at(waitBytes, waiting),
		Core:    t.Lookups / t.Nodes * c.at(waitTime, waiting) / nanos,
		Carries: "accounts in a heap by their next turn, requests of an account in a list",
	}
}

func (c *Capacity) balancer() role.Role {
	t := c.Target
	return role.Role{
		Name: "balancer", Core: t.Lookups / t.Nodes * c.at(pickTime, domainBackends) / nanos,
		Carries: "two candidates of those with a free slot; only a domain's own backend servers",
	}
}

// membership is heartbeats inside a site by everybody, between sites by one host
// of each and between domains by one host of each. The cost is that of the
// dearest host, which speaks for its domain.
func (c *Capacity) membership() role.Role {
	t := c.Target
	f := t.Sites/t.Domains - 1 + t.Domains - 1
	n := c.siblings()/beatSeconds + f/farSeconds
	b := c.at(beatBytes, 0) + beatDemands*c.slopes[demandBytes].Each
	return role.Role{
		Name: "membership", State: c.at(beatBytes, t.Nodes/t.Sites) * (c.siblings() + f), Messages: 2 * n, Traffic: 2 * b * n,
		Core:    2 * n * c.at(beatTime, 1) / nanos,
		Carries: "heartbeats inside a site; one host speaks for a site and for a domain; lists of hosts only when they change",
		Breaks: fmt.Sprintf("everybody beats to everybody five times a second: %s a second for each host",
			size(2*t.Nodes/beatEvery.Seconds()*c.at(beatBytes, 0))),
	}
}

func (c *Capacity) quota() role.Role {
	t := c.Target
	p := siteAccounts * (c.siblings() + 1)
	return role.Role{
		Name: "quota", State: c.at(divisionBytes, p), Traffic: c.at(divisionBytes, p) / epochGap * epochChange,
		Writes: t.Domains / epochGap, Reads: t.Domains * pollers,
		Core:    c.at(divisionTime, p) / nanos / epochGap * epochChange,
		Carries: "divisions in two levels, domain and host, sent as deltas",
		Breaks: fmt.Sprintf("one division for all: %s for %d accounts and all hosts",
			size(c.at(divisionBytes, accounts*t.Nodes)), accounts),
	}
}

func (c *Capacity) configuration() role.Role {
	t := c.Target
	return role.Role{
		Name: "configuration", State: c.at(snapshotBytes, accounts) + c.at(contentBytes, accounts),
		Messages: relayFanout * t.Changes, Traffic: relayFanout * t.Changes * changeBytes,
		Reads: t.Domains * pollers, Writes: t.Changes, Core: t.Changes * c.at(deltaTime, accounts) / nanos,
		Carries: "deltas through a tree of relays, indexes changed in place",
		Breaks: fmt.Sprintf("each version is read and indexed whole on every host: %.1f%% of a core",
			100*t.Changes*c.at(readTime, accounts)/nanos),
	}
}

func (c *Capacity) planner() role.Role {
	t := c.Target
	return role.Role{
		Name: "planner", Reads: 1, Writes: 1 / planSeconds, Core: c.at(gaugeTime, t.Sites) / nanos,
		Carries: "one host at a time sums up sites once a second",
		Breaks:  "it sums up every host's heartbeats: " + seconds(c.at(gaugeTime, t.Nodes)) + " for each look",
	}
}

func (c *Capacity) idempotency() role.Role {
	return role.Role{
		Name: "idempotency", State: c.at(ticketBytes, ticketsHeld), Writes: 2 * nonIdempotent,
		Carries: "tickets, from memory; the table for callers' own ids (at that size too few a host to share commits)",
		Breaks:  fmt.Sprintf("more than %d requests a second with callers' own ids over all hosts", nonIdempotent),
	}
}

// burn is the counts behind the report on service-level burn.
func (c *Capacity) burn() role.Role {
	t := c.Target
	return role.Role{
		Name: "burn report", State: c.at(countBytes, limitedAccounts) * hourMinutes, Writes: t.Domains / keepSeconds,
		Carries: "seconds are kept for accounts at their limit only, the others' by the minute; sums by failure domain are kept on the platform",
		Breaks: fmt.Sprintf("seconds of every account: %s for %d accounts; counts kept by host: %.0f commits/s",
			size(c.at(countBytes, siteAccounts)*hourMinutes), siteAccounts, t.Nodes/keepSeconds*2),
	}
}

func seconds(ns float64) string {
	switch {
	case ns >= 1e9:
		return fmt.Sprintf("%.1f s", ns/1e9)
	case ns >= 1e6:
		return fmt.Sprintf("%.1f ms", ns/1e6)
	default:
		return fmt.Sprintf("%.1f µs", ns/1e3)
	}
}
