package capacity

import (
	"fmt"

	"celeryreach.example/celeryreach/componentcost"
)

// These assumptions are not part of the target that the users stated. The capacity
// page lists them too.
const (
	// clientAccounts is the number of client accounts.
	clientAccounts = 100_000
	// siteAccounts is the number of client accounts that send through one site.
	siteAccounts = 1_000
	// heartbeatSeconds is the interval of heartbeats between hosts of a site.
	heartbeatSeconds = 1.5
	// remoteHeartbeatSeconds is the interval of heartbeats between the hosts that
	// represent a site or a failure domain. Hold, the time without a heartbeat after
	// which a host's leased parts may be reassigned, is three intervals. The leased
	// parts of a host that stops sending heartbeats are therefore reassigned within
	// 12 s.
	remoteHeartbeatSeconds = 4.0
	// heartbeatDemands is the number of accounts whose demand changes between two
	// heartbeats.
	heartbeatDemands = 2
	// pollersPerDomain is the number of hosts in a failure domain that read the
	// table once a second.
	pollersPerDomain = 2
	// divisionIntervalSeconds is the minimum time between two divisions of one
	// failure domain.
	divisionIntervalSeconds = 10.0
	// divisionChangedFraction is the fraction of parts that a new division changes.
	divisionChangedFraction = 0.01
	// changeBytes is the encoded size of a configuration change, including the
	// message around it.
	changeBytes = 400
	// relayFanout is the number of hosts to which a host relays a change.
	relayFanout = 4
	// planIntervalSeconds is the time between two published plans.
	planIntervalSeconds = 30.0
	// idempotencyIDRequests is the number of requests per second over all hosts
	// that carry idempotency ids chosen by callers. Above that rate, callers have
	// to use tickets.
	idempotencyIDRequests = 100
	// usedTickets is the number of used tickets that a host keeps in memory.
	usedTickets = 20_000
	// limitedAccounts is the number of a site's accounts that are at their rate limit.
	limitedAccounts = 20
	// secondCountMinutes is the number of minutes for which per-second counts are
	// kept.
	secondCountMinutes = 60
	// countWriteSeconds is the interval at which counts are written to the table.
	countWriteSeconds = 300.0
	// waitingRequests is the number of requests waiting on a host. The number of
	// requests per second on a host is assumed to equal its number of look-ups per
	// second.
	waitingRequests = 10_000
	// domainBackends is the number of a service's backend servers in a failure domain.
	domainBackends = 40
	nanosPerSecond = 1e9
)

// costAt returns a cost at size n, computed from its measurements.
func (c *Capacity) costAt(name string, n float64) float64 {
	return c.fits[name].At(n)
}

// otherSiteHosts returns the number of other hosts in a host's site.
func (c *Capacity) otherSiteHosts() float64 {
	return c.Target.Hosts/c.Target.Sites - 1
}

func (c *Capacity) components() []componentcost.Componentcost {
	return []componentcost.Componentcost{
		c.lookup(), c.admission(), c.queue(), c.balancer(), c.membership(), c.quota(), c.configuration(), c.planner(), c.idempotency(), c.burn(),
		c.placement(), c.tokens(),
	}
}

func (c *Capacity) lookup() componentcost.Componentcost {
	t := c.Target
	return componentcost.Componentcost{
		Name: "look-up", Memory: c.costAt(blockBytes, t.Blocks) + c.costAt(memberBytes, t.Hosts),
		Core: t.Lookups/t.Hosts*c.costAt(lookupTime, t.Hosts/t.Regions)/nanosPerSecond +
			2*t.Replacements*c.costAt(rosterTime, t.Hosts)/nanosPerSecond,
		Mechanism:  "radix tree of client blocks; roster made anew when a host comes or goes; an account's hosts remembered",
		Bottleneck: "the roster comes from heartbeats of everybody; it has to come as a versioned content",
	}
}

func (c *Capacity) admission() componentcost.Componentcost {
	t := c.Target
	return componentcost.Componentcost{
		Name: "admission", Memory: c.costAt(admitBytes, siteAccounts),
		Core:      t.Lookups / t.Hosts * c.costAt(admitTime, clientAccounts) / nanosPerSecond,
		Mechanism: "buckets made on first use; one hash a request",
	}
}

func (c *Capacity) queue() componentcost.Componentcost {
	t := c.Target
	return componentcost.Componentcost{
		Name: "queue", Memory: c.costAt(waitBytes, waitingRequests),
		Core:      t.Lookups / t.Hosts * c.costAt(waitTime, waitingRequests) / nanosPerSecond,
		Mechanism: "accounts in a heap by their next turn, requests of an account in a list",
	}
}

func (c *Capacity) balancer() componentcost.Componentcost {
	t := c.Target
	return componentcost.Componentcost{
		Name: "balancer", Core: t.Lookups / t.Hosts * c.costAt(pickTime, domainBackends) / nanosPerSecond,
		Mechanism: "two candidates of those with a free slot; only a domain's own backend servers",
	}
}

// membership returns the cost of heartbeats. Within a site, every host exchanges
// heartbeats with every other host. Between the sites of a failure domain, one host
// of each site does so, and between failure domains one host of each failure domain.
// The cost is that of the most expensive host, which represents both its site and
// its failure domain.
func (c *Capacity) membership() componentcost.Componentcost {
	t := c.Target
	f := t.Sites/t.Domains - 1 + t.Domains - 1
	n := c.otherSiteHosts()/heartbeatSeconds + f/remoteHeartbeatSeconds
	b := c.costAt(heartbeatBytes, 0) + heartbeatDemands*c.fits[demandBytes].Slope
	return componentcost.Componentcost{
		Name: "membership", Memory: c.costAt(heartbeatBytes, t.Hosts/t.Sites) * (c.otherSiteHosts() + f), Messages: 2 * n, Traffic: 2 * b * n,
		Core:      2 * n * c.costAt(heartbeatTime, 1) / nanosPerSecond,
		Mechanism: "heartbeats inside a site; one host speaks for a site and for a domain; lists of hosts only when they change",
		Bottleneck: fmt.Sprintf("everybody beats to everybody five times a second: %s a second for each host",
			formatBytes(2*t.Hosts/heartbeatInterval.Seconds()*c.costAt(heartbeatBytes, 0))),
	}
}

func (c *Capacity) quota() componentcost.Componentcost {
	t := c.Target
	p := siteAccounts * (c.otherSiteHosts() + 1)
	return componentcost.Componentcost{
		Name: "quota", Memory: c.costAt(divisionBytes, p), Traffic: c.costAt(divisionBytes, p) / divisionIntervalSeconds * divisionChangedFraction,
		Writes: t.Domains / divisionIntervalSeconds, Reads: t.Domains * pollersPerDomain,
		Core:      c.costAt(divisionTime, p) / nanosPerSecond / divisionIntervalSeconds * divisionChangedFraction,
		Mechanism: "divisions in two levels, domain and host, sent as deltas",
		Bottleneck: fmt.Sprintf("one division for all: %s for %d accounts and all hosts",
			formatBytes(c.costAt(divisionBytes, clientAccounts*t.Hosts)), clientAccounts),
	}
}

func (c *Capacity) configuration() componentcost.Componentcost {
	t := c.Target
	return componentcost.Componentcost{
		Name: "configuration", Memory: c.costAt(snapshotBytes, clientAccounts) + c.costAt(contentBytes, clientAccounts),
		Messages: relayFanout * t.Changes, Traffic: relayFanout * t.Changes * changeBytes,
		Reads: t.Domains * pollersPerDomain, Writes: t.Changes, Core: t.Changes * c.costAt(deltaTime, clientAccounts) / nanosPerSecond,
		Mechanism: "deltas through a tree of relays, indexes changed in place",
		Bottleneck: fmt.Sprintf("each version is read and indexed whole on every host: %.1f%% of a core",
			100*t.Changes*c.costAt(readTime, clientAccounts)/nanosPerSecond),
	}
}

func (c *Capacity) planner() componentcost.Componentcost {
	t := c.Target
	return componentcost.Componentcost{
		Name: "planner", Reads: 1, Writes: 1 / planIntervalSeconds, Core: c.costAt(loadSumTime, t.Sites) / nanosPerSecond,
		Mechanism:  "one host at a time sums up sites once a second",
		Bottleneck: "it sums up every host's heartbeats: " + formatNanoseconds(c.costAt(loadSumTime, t.Hosts)) + " for each look",
	}
}

func (c *Capacity) idempotency() componentcost.Componentcost {
	return componentcost.Componentcost{
		Name: "idempotency", Memory: c.costAt(ticketBytes, usedTickets), Writes: 2 * idempotencyIDRequests,
		Mechanism:  "tickets, from memory; the table for callers' own ids (at that size too few a host to share commits)",
		Bottleneck: fmt.Sprintf("more than %d requests a second with callers' own ids over all hosts", idempotencyIDRequests),
	}
}

// burn returns the cost of the counts behind the error-budget burn report.
func (c *Capacity) burn() componentcost.Componentcost {
	t := c.Target
	return componentcost.Componentcost{
		Name: "burn report", Memory: c.costAt(countBytes, limitedAccounts) * secondCountMinutes, Writes: t.Domains / countWriteSeconds,
		Mechanism: "seconds are kept for accounts at their limit only, the others' by the minute; sums by failure domain are kept on the platform",
		Bottleneck: fmt.Sprintf("seconds of every account: %s for %d accounts; counts kept by host: %.0f commits/s",
			formatBytes(c.costAt(countBytes, siteAccounts)*secondCountMinutes), siteAccounts, t.Hosts/countWriteSeconds*2),
	}
}

func formatNanoseconds(ns float64) string {
	switch {
	case ns >= 1e9:
		return fmt.Sprintf("%.1f s", ns/1e9)
	case ns >= 1e6:
		return fmt.Sprintf("%.1f ms", ns/1e6)
	default:
		return fmt.Sprintf("%.1f µs", ns/1e3)
	}
}
